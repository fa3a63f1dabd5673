//! Runs the clients of a crowd.

use crate::http::MessageReader;
use crate::shape::{Pieces, Shape};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The pause before a client that could not connect or was cut off tries again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The size of the writes of a client that sends bytes without an end or requests in a row.
const FLOOD_BYTES: usize = 64 << 10;
/// The body bytes that are written at once.
const BODY_CHUNK: &[u8] = &[b'b'; 16 << 10];
/// The prefix of the identifiers of the next crowd.
static NEXT_CROWD: AtomicU64 = AtomicU64::new(1);

/// The clients of a crowd.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// How many clients it has.
    pub clients: usize,
    /// How each of them behaves.
    pub shape: Shape,
}

/// What the clients of a crowd got.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrowdReport {
    /// Complete responses with status 200.
    pub served: u64,
    /// Other complete responses.
    pub refused: u64,
    /// Connections that ended without a complete response to what was sent on them.
    pub closed: u64,
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
}

/// One client of a crowd.
#[derive(Clone)]
struct CrowdClient {
    address: SocketAddr,
    shape: Shape,
    name: String,
    counts: Arc<Counts>,
}

impl Crowd {
    /// Runs the clients against the proxy at `address` for the given time.
    pub async fn run(self, address: SocketAddr, duration: Duration) -> CrowdReport {
        let end = Instant::now() + duration;
        let crowd_number = NEXT_CROWD.fetch_add(1, Relaxed);
        let counts = Arc::<Counts>::default();
        let mut tasks = Vec::new();
        for number in 0..self.clients {
            let client = CrowdClient {
                address,
                shape: self.shape,
                name: format!("c{}-{crowd_number}-{number}", std::process::id()),
                counts: counts.clone(),
            };
            tasks.push(tokio::spawn(async move {
                let _ = tokio::time::timeout_at(end, client.run()).await;
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        CrowdReport {
            served: counts.served.load(Relaxed),
            refused: counts.refused.load(Relaxed),
            closed: counts.closed.load(Relaxed),
        }
    }
}

impl CrowdClient {
    async fn run(self) {
        for connection in 0_u64.. {
            if let Ok(stream) = TcpStream::connect(self.address).await {
                let _ = stream.set_nodelay(true);
                if self.use_connection(stream, connection).await.is_err() {
                    self.counts.closed.fetch_add(1, Relaxed);
                }
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Uses a connection until it ends.
    async fn use_connection(&self, stream: TcpStream, connection: u64) -> std::io::Result<()> {
        let (mut input, mut output) = stream.into_split();
        let mut reader = MessageReader::default();
        for request in 0_u64.. {
            let id = format!("{}-{connection}-{request}", self.name);
            let (head, body_bytes) = self.shape.request(&id);
            output.write_all(head.as_bytes()).await?;
            self.write_body(&mut output, body_bytes).await?;
            match self.shape {
                Shape::UnreadResponses { .. } => return std::future::pending().await,
                Shape::EndlessBytes => return flood(input, output, &vec![b'x'; FLOOD_BYTES]).await,
                Shape::PipelinedRequests => {
                    return flood(input, output, self.pipeline(connection).as_bytes()).await
                }
                shape if shape.falls_silent() => {
                    input.read_u8().await?;
                    return Ok(());
                }
                _ => {}
            }
            let response = reader.read(&mut input).await?;
            let count = match response.status() {
                200 => &self.counts.served,
                _ => &self.counts.refused,
            };
            count.fetch_add(1, Relaxed);
            if response.header("connection") == Some("close") {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Many requests, each with an identifier of its own within the text.
    fn pipeline(&self, connection: u64) -> String {
        let mut text = String::new();
        for request in 1_u64.. {
            if text.len() >= FLOOD_BYTES {
                break;
            }
            let id = format!("{}-{connection}-p{request}", self.name);
            text += &self.shape.request(&id).0;
        }
        text
    }

    async fn write_body(&self, output: &mut OwnedWriteHalf, bytes: usize) -> std::io::Result<()> {
        let pieces = match self.shape {
            Shape::SlowBodies { pieces, .. } => pieces,
            _ => Pieces {
                bytes: BODY_CHUNK.len(),
                pause: Duration::ZERO,
            },
        };
        let mut remaining = bytes;
        while remaining > 0 {
            let length = remaining.min(pieces.bytes).min(BODY_CHUNK.len());
            output.write_all(&BODY_CHUNK[..length]).await?;
            remaining -= length;
            if !pieces.pause.is_zero() {
                tokio::time::sleep(pieces.pause).await;
            }
        }
        Ok(())
    }
}

/// Writes `bytes` again and again as fast as they are taken, and reads and drops what comes.
async fn flood(
    mut input: tokio::net::tcp::OwnedReadHalf,
    mut output: OwnedWriteHalf,
    bytes: &[u8],
) -> std::io::Result<()> {
    let read_all = async {
        let mut buffer = vec![0; FLOOD_BYTES];
        while input.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    let write_all = async {
        loop {
            output.write_all(bytes).await?;
        }
    };
    tokio::select! {
        result = read_all => result,
        result = write_all => result,
    }
}
