use super::*;

const REQUEST: RequestId = RequestId(1);
const TOKEN: TimerToken = TimerToken(5);

fn host() -> BalancerHost {
    BalancerHost::new(Config::example(), 1).expect("a valid configuration")
}

#[test]
fn after_a_late_tick_the_next_tick_starts_at_a_multiple_of_the_tick_length() {
    let mut host = host();
    let tick = Config::example().tick.0;
    let late = Time(3 * tick + 1);
    host.report(Event::ClientDisconnected { request: REQUEST });
    assert_eq!(host.start_tick(late).len(), 1);
    assert_eq!(host.next_tick(), Time(4 * tick));
    assert!(host.start_tick(Time(7 * tick)).is_empty());
    assert_eq!(host.next_tick(), Time(4 * tick), "no tick without an event");
}

#[test]
fn expired_timers_follow_the_reported_events_of_a_tick() {
    let mut host = host();
    let expiry = Time(1_000_000);
    host.set_timer(expiry, TOKEN);
    assert_eq!(host.next_due(), expiry);
    host.report(Event::ClientDisconnected { request: REQUEST });
    assert_eq!(host.next_due(), host.next_tick());
    assert_eq!(
        host.start_tick(expiry),
        [
            Event::ClientDisconnected { request: REQUEST },
            Event::Timer { token: TOKEN }
        ]
    );
    assert_eq!(host.next_due(), Time::NEVER);
}

#[test]
fn a_restart_drops_timers_and_events_and_reports_the_endpoint_list() {
    let mut host = host();
    host.set_timer(Time(1), TOKEN);
    host.report(Event::ClientDisconnected { request: REQUEST });
    host.restart(Vec::new());
    let endpoint_list = Event::EndpointsUpdated {
        update: EndpointUpdate::Cached,
        endpoints: Vec::new(),
    };
    assert_eq!(host.start_tick(Time(1_000_000)), [endpoint_list]);
    assert_eq!(host.next_due(), Time::NEVER);
}
