//! Test values and helper functions that are shared by the tests of several modules.

use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::forwarded_request::ForwardedRequest;
use brookstack_balancer::{BackendId, BackendState, Endpoint};
use bytes::Bytes;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A request without headers or body, whose client stays connected.
pub fn empty_request() -> Rc<ForwardedRequest> {
    Rc::new(ForwardedRequest {
        head: hyper::Request::new(()),
        body: Bytes::new(),
        client_disconnected: Box::new(|| false),
    })
}

/// An endpoint with the given identifier, state and address.
pub fn resolved_endpoint(id: u64, state: BackendState, address: SocketAddr) -> ResolvedEndpoint {
    ResolvedEndpoint {
        endpoint: Endpoint {
            id: BackendId(id),
            state,
            ..Endpoint::default()
        },
        address,
    }
}

/// Reads one request without a body, as a test backend.
pub fn read_request(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        received.push(byte[0]);
    }
}
