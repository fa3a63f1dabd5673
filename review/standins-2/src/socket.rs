//! Ends a connection with a reset.

use std::ffi::{c_int, c_void};
use std::net::TcpStream;
use std::os::fd::AsRawFd;

const SOL_SOCKET: c_int = 1;
const SO_LINGER: c_int = 13;

#[repr(C)]
struct Linger {
    is_on: c_int,
    seconds: c_int,
}

extern "C" {
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

/// Closes a connection so that the other side gets a reset. No other handle to it may be open.
pub fn reset(stream: TcpStream) {
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    // SAFETY: the descriptor is open, and the value is a `struct linger` of the given length.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            (&raw const linger).cast(),
            size_of::<Linger>() as u32,
        );
    }
}
