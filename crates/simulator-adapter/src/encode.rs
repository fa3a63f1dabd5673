//! Writes reply lines: the balancer's actions, reports of invalid settings, and the end of a reply.
//!
//! Instance names and backend addresses are written without JSON escaping, because decoding has
//! checked that they contain no character that JSON escapes. The results of writes are ignored,
//! because writing to a vector cannot fail.

use crate::endpoint_lists::EndpointLists;
use crate::error::InvalidSettings;
use brookstack_balancer::{Action, BackendId, LogEvent};
use serde_json::{json, Value};
use std::io::{self, Write};

#[cfg(test)]
mod tests;

/// The last line of the reply to a batch.
const END_OF_REPLY: &[u8] = b"[\"YIELD\"]\n";

/// Writes an action of an instance as a reply line. Nothing is written for
/// [`Action::LimitIdleConnections`], because the simulator closes idle connections by itself.
pub fn write_action(instance: &str, action: &Action, lists: &EndpointLists, reply: &mut Vec<u8>) {
    let _ = match action {
        Action::Dispatch { request, backend } => {
            let request = request.0;
            let address = lists.address(*backend).unwrap_or_default();
            writeln!(
                reply,
                r#"["HAND_OFF","{instance}","{request:016x}","{address}",0]"#
            )
        }
        Action::Reject { request } => {
            let request = request.0;
            writeln!(reply, r#"["BOUNCE","{instance}","{request:016x}",0]"#)
        }
        Action::Fail { request } => {
            let request = request.0;
            writeln!(reply, r#"["LOSE","{instance}","{request:016x}"]"#)
        }
        Action::Cancel { request, attempt } => {
            let request = request.0;
            let attempt = attempt.0;
            writeln!(
                reply,
                r#"["RECALL","{instance}","{request:016x}",{attempt}]"#
            )
        }
        Action::SetTimer { token, after } => {
            let token = token.0;
            let after = after.0;
            writeln!(reply, r#"["AFTER","{instance}",{token},{after}]"#)
        }
        Action::LimitIdleConnections { .. } => Ok(()),
        Action::WatchEndpoints => writeln!(reply, r#"["FOLLOW","{instance}",true]"#),
        Action::Log(event) => {
            let text = log_text(*event, lists);
            write_json(&json!(["WRITE_LOG", instance, text]), reply)
        }
    };
}

/// Returns the text of a line in the operators' log.
fn log_text(event: LogEvent, lists: &EndpointLists) -> String {
    match event {
        LogEvent::BackendEjected { backend, outcome } => {
            let backend = describe_backend(backend, lists);
            format!("backend {backend} ejected: {outcome:?}")
        }
        LogEvent::WatchFailed => "discovery watch failed, polling again".into(),
        LogEvent::WatchTimedOut => "discovery watch timed out, polling again".into(),
    }
}

/// Returns the address of a backend, by which operators can look it up, or its id if no endpoint
/// list has contained it.
fn describe_backend(backend: BackendId, lists: &EndpointLists) -> String {
    match lists.address(backend) {
        Some(address) => address.into(),
        None => format!("with id {}", backend.0),
    }
}

/// Writes the reply line that reports the invalid settings of an instance.
pub fn write_invalid_settings(instance: &str, error: &InvalidSettings, reply: &mut Vec<u8>) {
    let text = format!("invalid settings: {error}");
    let _ = write_json(&json!(["BROKEN", instance, text]), reply);
}

/// Writes the last line of the reply to a batch.
pub fn write_end_of_reply(reply: &mut Vec<u8>) {
    reply.extend_from_slice(END_OF_REPLY);
}

fn write_json(line: &Value, reply: &mut Vec<u8>) -> io::Result<()> {
    writeln!(reply, "{line}")
}
