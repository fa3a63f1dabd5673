//! Starts the real proxy of a cell and waits until it is ready.

use super::backends::Backends;
use super::client;
use super::discovery::Discovery;
use super::process::{self, ProxyProcess};
use super::setup::Setup;
use crate::deployment::Deployment;
use crate::failure::{Failure, MeasurementError};
use crate::topology::{self, TARGET_PROXIES};
use serde_json::{json, Value};
use std::time::Duration;

/// The cell fails if `/-/ready` has not answered with 200 within this time after the start of the
/// process.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause between two checks of `/-/ready`.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The cell fails if the proxy exits at this many starts in a row.
const START_ATTEMPTS: usize = 3;
/// The upper bound for `limits.sockets` in the proxy's configuration.
const MAX_SOCKETS: u64 = 20_000;

/// A proxy process that is ready.
pub(super) struct ReadyProxy {
    pub(super) process: ProxyProcess,
    /// The time from the start of the process to the first 200 response of `/-/ready`.
    pub(super) ready_after: Duration,
}

/// Starts the proxy and waits until it is ready. If another program has taken its port in the
/// meantime, the proxy exits, and is started again with another port.
pub(super) async fn start(
    setup: &Setup,
    backends: &Backends,
    discovery: &Discovery,
) -> Result<ReadyProxy, Failure> {
    let config = config(setup, backends, discovery)?;
    for _ in 0..START_ATTEMPTS {
        let process = ProxyProcess::start(&setup.program, config.clone())?;
        if let Some(proxy) = wait_until_ready(process).await? {
            return Ok(proxy);
        }
        tracing::warn!(
            "the proxy exited before it was ready, possibly because its port was taken; it is \
             started up to {START_ATTEMPTS} times, each time with another port"
        );
    }
    Err(Failure::Measurement(MeasurementError::ProxyExitedAtStart {
        attempts: START_ATTEMPTS,
    }))
}

/// Waits until a proxy is ready. Returns `None` if it exits before that.
async fn wait_until_ready(
    mut process: ProxyProcess,
) -> Result<Option<ReadyProxy>, MeasurementError> {
    while !process.has_exited() {
        if matches!(client::is_ready(process.address).await, Ok(true)) {
            let ready_after = process.started_at.elapsed();
            return Ok(Some(ReadyProxy {
                process,
                ready_after,
            }));
        }
        if process.started_at.elapsed() > READY_TIMEOUT {
            return Err(MeasurementError::NotReady {
                within: READY_TIMEOUT,
            });
        }
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    Ok(None)
}

fn config(setup: &Setup, backends: &Backends, discovery: &Discovery) -> Result<Value, Failure> {
    let deployment = Deployment {
        proxy_count: TARGET_PROXIES,
        proxy_index: setup.proxy_index,
        tenant_count: setup.tenants,
        mode: setup.discovery_mode,
        connection_idle_secs: setup.connection_idle_secs,
        cross_zone_cost: 0.0,
    };
    let known_list = if setup.list_is_known {
        known_list(setup.backends, backends)
    } else {
        Value::Null
    };
    let sockets = process::max_open_files()?.min(MAX_SOCKETS);
    Ok(json!({
        "name": "n1",
        "discovery": discovery.address.to_string(),
        "seed": format!("{:x}", setup.seed),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": known_list,
        "settings": deployment.settings(),
    }))
}

/// The endpoint list in the form in which the configuration of a restarted proxy contains it.
fn known_list(count: usize, backends: &Backends) -> Value {
    let endpoints: Vec<_> = (0..count)
        .map(|backend| topology::listed_endpoint(backend, backends.address(backend).to_string()))
        .collect();
    json!({"index": 1, "snapshot": true, "endpoints": endpoints})
}
