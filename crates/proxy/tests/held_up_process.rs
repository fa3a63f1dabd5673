//! Requests that arrive while the process gets no processor time, as happens on a loaded machine.

mod support;

use std::time::Duration;
use support::*;

/// How long the process gets no processor time: many ticks.
const PAUSE_DURATION: Duration = Duration::from_millis(100);
/// How often the test pauses a process. A pause can cause the failure only if a check of the queued
/// requests falls due during it.
const PAUSE_COUNT: usize = 10;

/// Guards against a fault in which requests that arrived while the process got no processor time
/// were rejected immediately, although a backend was idle. The check of the queued requests was
/// overdue and ran before the balancer had considered a backend. For a class without a response so
/// far, the balancer assumes a latency of a quarter of the latency objective. Here that is more
/// than the time that the clients wait, so the check rejected their requests.
#[test]
fn a_request_that_arrives_while_the_process_is_held_up_is_sent_to_an_idle_backend() {
    let mut statuses = Vec::new();
    for _ in 0..PAUSE_COUNT {
        let (opener, gate) = ResponseGate::closed();
        let backends = [gate.clone(), gate].map(start_backend);
        let discovery = FakeDiscovery::start();
        let endpoints = [
            ready("a", backends[0].address),
            ready("b", backends[1].address),
        ];
        let config = proxy_config_without_deadlines(&discovery, &endpoints);
        let proxy = ProxyProcess::start(&config);
        assert_reads_succeed(&proxy, 4);
        // The backend does not respond to this request until the gate opens. Until then, the
        // balancer checks its attempt in every tick.
        let held_request = request("read", 8_000).replace("/a?", "/held?");
        let _held_client = Client::connect_and_send(proxy.address, &held_request);
        wait_until("the held request is sent", || {
            backends
                .iter()
                .map(FakeBackend::request_count)
                .sum::<usize>()
                == 5
        });
        proxy.pause();
        let mut client = Client::connect_and_send(proxy.address, &request("pay", 8_000));
        std::thread::sleep(PAUSE_DURATION);
        proxy.resume();
        statuses.push(client.read_status());
        opener.open();
    }
    assert_eq!(
        statuses,
        [Some(200); PAUSE_COUNT],
        "a request that arrived during a pause was not served"
    );
}

/// Starts a backend that does not respond to requests for `/held` until the gate opens.
fn start_backend(gate: ResponseGate) -> FakeBackend {
    FakeBackend::start(move |request| {
        if request.start_line_contains("/held") {
            gate.wait();
        }
        ok_response("x")
    })
}
