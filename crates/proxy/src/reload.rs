//! Reloads the configuration on SIGHUP. Only a changed address of discovery takes effect. All other
//! changed values are listed in the log and take effect at the next start. The cached endpoint list
//! in the file must be valid but is not used: the proxy keeps its current list.

use crate::config::{self, Config};
use serde_json::Value;
use std::net::SocketAddr;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// The key whose new value takes effect in a running proxy.
const RELOADABLE_KEY: &str = "discovery";

/// Reloads the configuration on each SIGHUP and sends the address of discovery if it has changed.
/// An invalid file changes nothing.
///
/// `running` is the configuration document that the proxy was started with, without the cached
/// endpoint list.
pub async fn reload_on_sighup(
    mut hangup: Signal,
    running: Value,
    discovery: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match config::load() {
            Ok(reloaded) => apply(&running, &reloaded, &discovery),
            Err(error) => {
                tracing::warn!(
                    "reloading the configuration failed, \
                     the previous configuration stays in effect: {error}"
                );
            }
        }
    }
}

/// Applies a reloaded configuration and logs the changed keys that require a restart.
fn apply(running: &Value, reloaded: &Config, discovery: &watch::Sender<SocketAddr>) {
    let address = reloaded.discovery;
    let restart_keys = keys_requiring_restart(running, &reloaded.document).join(", ");
    if restart_keys.is_empty() {
        tracing::info!("configuration reloaded, discovery at {address}");
    } else {
        tracing::info!(
            "configuration reloaded, discovery at {address}; \
             changed values that take effect only after a restart: {restart_keys}"
        );
    }
    discovery.send_if_modified(|current| {
        let has_changed = *current != address;
        *current = address;
        has_changed
    });
}

/// Returns the paths of the changed values that take effect only at the next start.
fn keys_requiring_restart(running: &Value, reloaded: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect_differences(String::new(), running, reloaded, &mut paths);
    paths.retain(|path| path != RELOADABLE_KEY);
    paths
}

/// Appends the paths at which two documents differ. A missing member counts as `null`.
fn collect_differences(path: String, old: &Value, new: &Value, paths: &mut Vec<String>) {
    let (Value::Object(old_members), Value::Object(new_members)) = (old, new) else {
        if old != new {
            paths.push(path);
        }
        return;
    };
    let added = new_members
        .keys()
        .filter(|key| !old_members.contains_key(*key));
    for key in old_members.keys().chain(added) {
        let old_member = old_members.get(key).unwrap_or(&Value::Null);
        let new_member = new_members.get(key).unwrap_or(&Value::Null);
        let member_path = member_path(&path, key);
        collect_differences(member_path, old_member, new_member, paths);
    }
}

/// Returns the path of an object's member, in the form `settings.limits.sockets`.
fn member_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

#[cfg(test)]
mod tests;
