//! The process gets no processor time for a while, as on a loaded machine.

mod support;

use std::time::Duration;
use support::*;

/// For so long the process gets no processor time: many ticks.
const HOLD_UP: Duration = Duration::from_millis(100);
/// How often that happens in a test: it matters only if a check is due just then.
const HOLD_UPS: usize = 10;

/// Requests that arrived during a hold-up were rejected at once, although a backend was idle: a
/// check of the waiting requests was overdue, and it judged them before the balancer had considered
/// a backend. It took a quarter of the latency objective for the latency of a class without a
/// response, which is more than these clients wait.
#[test]
fn a_request_that_arrives_while_the_process_is_held_up_is_sent_to_an_idle_backend() {
    let mut statuses = Vec::new();
    for _ in 0..HOLD_UPS {
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
        // As long as this request is not answered, its attempt is checked in every tick.
        let held = request("read", 8_000).replace("/a?", "/held?");
        let _held = Client::connect_and_send(proxy.address, &held);
        wait_until("the request is sent", || {
            backends
                .iter()
                .map(FakeBackend::request_count)
                .sum::<usize>()
                == 5
        });
        proxy.pause();
        let mut client = Client::connect_and_send(proxy.address, &request("pay", 8_000));
        std::thread::sleep(HOLD_UP);
        proxy.resume();
        statuses.push(client.read_status());
        opener.open();
    }
    assert_eq!(statuses, [Some(200); HOLD_UPS]);
}

/// A backend that holds the response to some requests until the gate opens.
fn start_backend(gate: ResponseGate) -> FakeBackend {
    FakeBackend::start(move |request| {
        if request.start_line_contains("/held") {
            gate.wait();
        }
        ok_response("x")
    })
}
