//! A backend that answers as the query of a request asks, and records what it was sent.

use crate::http::{Message, MessageReader};
use crate::response_shape::{parameter, ResponseShape};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The parameter of a request's query with the time that the backend works on it, in milliseconds.
pub const SERVICE_MS_PARAMETER: &str = "service_ms";
/// The time that a backend works on a request unless its query says otherwise.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// A backend at an address of the loopback interface.
#[derive(Clone)]
pub struct PacedBackend {
    /// Where it listens.
    pub address: SocketAddr,
    /// How often each identifier has arrived.
    executions: Arc<Mutex<HashMap<String, u32>>>,
}

impl PacedBackend {
    /// Starts a backend in the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start() -> std::io::Result<PacedBackend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let backend = PacedBackend {
            address: listener.local_addr()?,
            executions: Arc::default(),
        };
        let acceptor = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backend = acceptor.clone();
                tokio::spawn(async move { backend.serve(stream).await });
            }
        });
        Ok(backend)
    }

    /// How often each identifier was executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        let executions = self.executions.lock();
        executions.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut input, mut output) = stream.into_split();
        let mut reader = MessageReader::default();
        while let Ok(request) = reader.read(&mut input).await {
            let id = request.header("x-correlation-id").unwrap_or_default();
            self.count(id);
            tokio::time::sleep(service_time(&request)).await;
            if write_response(&mut output, &request, id).await.is_err() {
                return;
            }
        }
    }

    fn count(&self, id: &str) {
        let executions = self.executions.lock();
        let mut executions = executions.unwrap_or_else(PoisonError::into_inner);
        *executions.entry(id.to_string()).or_default() += 1;
    }
}

/// How long a backend works on the request.
fn service_time(request: &Message) -> Duration {
    let millis = parameter(request.target(), SERVICE_MS_PARAMETER);
    millis.map_or(SERVICE_TIME, Duration::from_millis)
}

async fn write_response(
    output: &mut (impl AsyncWrite + Unpin),
    request: &Message,
    id: &str,
) -> std::io::Result<()> {
    let shape = ResponseShape::from_target(request.target()).unwrap_or_default();
    let pause = Duration::from_millis(shape.pause_ms);
    for piece in shape.pieces(id) {
        output.write_all(&piece).await?;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}
