//! Reply lines: the balancer's actions, faults of an instance and the end of a batch.
//!
//! Names of instances and addresses of backends are checked on input to hold nothing that JSON
//! would escape, so they are written as they are. Writing to a vector cannot fail.

use crate::endpoint_lists::EndpointLists;
use crate::error::InvalidSettings;
use brookstack_balancer::{Action, LogEvent};
use serde_json::{json, Value};
use std::io::Write;

/// The line that ends the reply to a batch.
const END_OF_REPLY: &[u8] = b"[\"YIELD\"]\n";

/// Writes the line of an action of an instance. [`Action::LimitIdleConnections`] has none: the
/// simulator closes idle connections by itself.
pub fn write_action(instance: &str, action: &Action, lists: &EndpointLists, reply: &mut Vec<u8>) {
    let _ = match action {
        Action::Dispatch { request, backend } => {
            let address = lists.address(*backend).unwrap_or_default();
            let request = request.0;
            writeln!(
                reply,
                "[\"HAND_OFF\",\"{instance}\",\"{request:016x}\",\"{address}\",0]"
            )
        }
        Action::Reject { request } => {
            let request = request.0;
            writeln!(reply, "[\"BOUNCE\",\"{instance}\",\"{request:016x}\",0]")
        }
        Action::Fail { request } => {
            let request = request.0;
            writeln!(reply, "[\"LOSE\",\"{instance}\",\"{request:016x}\"]")
        }
        Action::Cancel { request, attempt } => {
            let request = request.0;
            let attempt = attempt.0;
            writeln!(
                reply,
                "[\"RECALL\",\"{instance}\",\"{request:016x}\",{attempt}]"
            )
        }
        Action::SetTimer { token, after } => {
            writeln!(reply, "[\"AFTER\",\"{instance}\",{},{}]", token.0, after.0)
        }
        Action::LimitIdleConnections { .. } => Ok(()),
        Action::WatchEndpoints => writeln!(reply, "[\"FOLLOW\",\"{instance}\",true]"),
        Action::Log(event) => {
            write_json(&json!(["WRITE_LOG", instance, log_text(*event)]), reply);
            Ok(())
        }
    };
}

fn log_text(event: LogEvent) -> String {
    match event {
        LogEvent::BackendEjected { backend, outcome } => {
            format!("backend {} ejected: {outcome:?}", backend.0)
        }
        LogEvent::WatchFailed => "discovery watch failed, polling again".into(),
        LogEvent::WatchTimedOut => "discovery watch timed out, polling again".into(),
    }
}

/// Writes the line that reports that the settings of an instance are invalid.
pub fn write_fault(instance: &str, error: &InvalidSettings, reply: &mut Vec<u8>) {
    let text = format!("settings: {error}");
    write_json(&json!(["BROKEN", instance, text]), reply);
}

/// Writes the line that ends the reply to a batch.
pub fn write_end(reply: &mut Vec<u8>) {
    reply.extend_from_slice(END_OF_REPLY);
}

fn write_json(line: &Value, reply: &mut Vec<u8>) {
    let _ = writeln!(reply, "{line}");
}
