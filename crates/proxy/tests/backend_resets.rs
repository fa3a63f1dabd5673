//! Connections that a backend resets: whether the request may have been executed, and which
//! responses belong to which request.

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::*;

/// A response of one byte.
const SHORT_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

/// The backend may have executed a request that reached it on an idle connection before the
/// connection broke.
#[test]
fn a_non_idempotent_request_is_not_retried_when_its_reused_connection_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let backend = std::thread::spawn(move || {
        reset_second_request(&listener);
        listener
    });
    let discovery = FakeDiscovery::start();
    let config = proxy_config(discovery.address, &[ready("a", address)]);
    let proxy = ProxyProcess::start(&config);
    assert_reads_succeed(&proxy, 1);
    let response = send_request(&proxy, &request("pay", 2000));
    assert_eq!(response.status(), 502);
    let counter = ByteCounter::start(backend.join().unwrap(), TEST_TIMEOUT);
    assert_eq!(counter.finish(), 0, "bytes on other connections");
}

/// Responds to the first request on a listener and resets the connection after the second.
fn reset_second_request(listener: &TcpListener) {
    let mut stream = listener.accept().unwrap().0;
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    assert!(read_http_message(&mut reader).is_some());
    stream.write_all(SHORT_RESPONSE).unwrap();
    assert!(read_http_message(&mut reader).is_some());
    reset_on_drop(&stream);
}

fn reset_on_drop(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// The response and the reset arrive at once: one response to the client, and one execution.
#[test]
fn a_reset_right_after_the_response_leads_to_one_response_and_one_execution() {
    let resetting = start_resetting_backend();
    let other = FakeBackend::responding_ok("x");
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", resetting), draining("b", other.address)];
    let proxy = ProxyProcess::start(&proxy_config(discovery.address, &endpoints));
    for _ in 0..20 {
        let mut client = Client::connect_and_send(proxy.address, &request("pay", 1000));
        // After a broken response the backend is not used for a while: what is rejected then was
        // not sent.
        let status = client.read_status().unwrap_or(0);
        assert!(matches!(status, 200 | 502 | 503), "{status}");
        client.send(&request("pay", 0));
        let next_status = client.read_status();
        assert!(
            matches!(next_status, Some(502 | 503)),
            "a second response to the first request: {next_status:?}"
        );
    }
    assert_eq!(other.request_count(), 0);
}

/// Responds to one request on each connection and resets it at once.
fn start_resetting_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream);
            if read_http_message(&mut reader).is_some() {
                let mut stream = reader.into_inner();
                stream.write_all(SHORT_RESPONSE).unwrap();
                reset_on_drop(&stream);
            }
        }
    });
    address
}
