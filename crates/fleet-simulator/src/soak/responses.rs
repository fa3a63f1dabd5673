//! The responses of the stand-ins for backends, and the faults of these responses.

use super::http::Message;
use super::plan::{PlannedResponseFault, ResponseFault};
use brookstack_crowd::ResponseShape;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Mutex;

/// The response to a request that was not processed.
pub const REJECTION: &str = "HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// A second response that would be written later than planned by more than this is left out, so
/// that none comes later than the plan says.
const MAX_DELAY: Duration = Duration::from_millis(10);

/// The sending side of a connection; `None` after the connection was prepared for its reset.
type Output = Mutex<Option<OwnedWriteHalf>>;

/// The sending side of a connection. Second responses are written by tasks of their own, which do
/// not keep the connection open.
#[derive(Clone)]
pub struct SharedOutput(Arc<Output>);

impl SharedOutput {
    /// Shares the sending side of a connection.
    pub fn new(output: OwnedWriteHalf) -> SharedOutput {
        SharedOutput(Arc::new(Mutex::new(Some(output))))
    }

    /// Writes the bytes of a response. Returns whether the connection is still open.
    pub async fn write(&self, bytes: &str) -> bool {
        write(&self.0, bytes).await
    }

    /// Makes the end of the connection a reset. Nothing can be written after this.
    pub async fn reset_at_end(&self) {
        if let Some(output) = self.0.lock().await.take() {
            let _ = output.as_ref().set_zero_linger();
            // Dropping this side would end it in an orderly way before the reset.
            output.forget();
        }
    }

    /// Writes a second response after a time, unless the connection has ended by then.
    fn write_later(&self, lag: Duration, bytes: String) {
        let output: Weak<Output> = Arc::downgrade(&self.0);
        let planned_at = Instant::now() + lag;
        tokio::spawn(async move {
            tokio::time::sleep_until(planned_at.into()).await;
            if let Some(output) = output
                .upgrade()
                .filter(|_| planned_at.elapsed() <= MAX_DELAY)
            {
                write(&output, &bytes).await;
            }
        });
    }
}

async fn write(output: &Output, bytes: &str) -> bool {
    match output.lock().await.as_mut() {
        Some(output) => output.write_all(bytes.as_bytes()).await.is_ok(),
        None => false,
    }
}

/// The response to the request with this correlation id.
pub fn response(id: &str) -> String {
    response_announcing(id.len(), id)
}

/// A response with this body that announces so many bytes.
fn response_announcing(length: usize, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Writes the response to a request as the fault says. `service` is how long the backend has worked
/// on it. Returns whether the connection can be used for another request.
pub async fn send_faulty(
    planned: PlannedResponseFault,
    output: &SharedOutput,
    id: &str,
    service: Duration,
) -> bool {
    let lag = Duration::from_secs_f64(planned.lag_secs);
    match planned.fault {
        ResponseFault::Repeated => output.write_later(lag, response(id)),
        ResponseFault::DeliveredTwice => output.write_later(service, response(id)),
        ResponseFault::StrayRejection => output.write_later(lag, REJECTION.to_string()),
        ResponseFault::LateBody => return send_late_body(output, id, lag).await,
        ResponseFault::TrailingBytes
        | ResponseFault::ShortLength
        | ResponseFault::Truncated
        | ResponseFault::WithoutLength
        | ResponseFault::WithoutLengthReset => {
            return send_with_wrong_end(planned.fault, output, id).await;
        }
    }
    output.write(&response(id)).await
}

/// Writes a response that announces no body, and its body after the lag.
async fn send_late_body(output: &SharedOutput, id: &str, lag: Duration) -> bool {
    output.write(&response_announcing(0, "")).await;
    tokio::time::sleep(lag).await;
    output.write(id).await
}

/// Writes a response whose end is not where it announces it, or that announces none.
async fn send_with_wrong_end(fault: ResponseFault, output: &SharedOutput, id: &str) -> bool {
    let half = &id[..id.len() / 2];
    let (text, stays_open) = match fault {
        ResponseFault::TrailingBytes => (response(id) + "noise", true),
        ResponseFault::ShortLength => (response_announcing(half.len(), id), true),
        ResponseFault::Truncated => (response_announcing(id.len() + 1, id), false),
        ResponseFault::WithoutLengthReset => (format!("HTTP/1.1 200 OK\r\n\r\n{half}"), false),
        _ => (format!("HTTP/1.1 200 OK\r\n\r\n{id}"), false),
    };
    let is_open = output.write(&text).await;
    if fault == ResponseFault::WithoutLengthReset {
        output.reset_at_end().await;
    }
    is_open && stays_open
}

/// Writes a response as large and in as many pieces as the query of the request asks for. Returns
/// whether the connection can be used for another request.
pub async fn respond_as_asked(output: &SharedOutput, request: &Message, id: &str) -> bool {
    let target = request.target();
    let Some(shape) = ResponseShape::from_target(target).filter(|_| target.contains("piece="))
    else {
        return output.write(&response(id)).await;
    };
    for piece in shape.pieces(id) {
        if !output.write(&String::from_utf8_lossy(&piece)).await {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(shape.pause_ms)).await;
    }
    true
}

/// Waits until the proxy ends the connection. Never returns if bytes arrive before that.
pub async fn wait_for_end(input: &OwnedReadHalf) {
    let mut byte = [0];
    if let Ok(1..) = input.as_ref().peek(&mut byte).await {
        std::future::pending::<()>().await;
    }
}
