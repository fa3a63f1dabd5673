//! Input that waits on a socket.

use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use tokio::net::TcpStream;

/// Reads input that waits on the socket itself, because the runtime may not have noticed it yet.
/// Returns the number of bytes read, 0 at the end of the stream, or `None` if nothing waits.
pub fn read(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<Option<usize>> {
    match (&*SockRef::from(stream)).read(buffer) {
        Ok(length) => Ok(Some(length)),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(None),
        Err(e) => Err(e),
    }
}
