//! A local agent that pushes the endpoint list and falls silent, is slow or loses calls. What it
//! has counts as notified at once, from the first moment of a process and whether or not a call is
//! open.

mod support;

use std::time::{Duration, Instant};
use support::*;

/// For how long the agent is silent: up to 8 s. Several lengths, so that the agent returns at
/// different times after the last call that it has not answered.
const OUTAGES_MS: [u64; 3] = [7_000, 7_500, 8_000];
/// For how long requests are counted after a change.
const OBSERVED: Duration = Duration::from_secs(5);
/// By how much the operators' limits are longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// The requests to drained backends that are late if the proxy is notified at `notified_at`.
fn late_requests(scenario: &Scenario, notified_at: Instant) -> usize {
    let until = notified_at + OBSERVED;
    sleep_until(until);
    scenario.requests_to(CHANGED, notified_at + GRACE + SOCKET_SLACK, until)
}

/// Backends begin to drain as the agent answers again after an outage. Returns the late requests to
/// them.
fn late_requests_after_outage(behavior: DiscoveryBehavior, outage: Duration) -> usize {
    let scenario = Scenario::start_with_agent();
    let drained = scenario.changed_entries("draining");
    scenario.discovery.change(behavior, &[]);
    let out_from = Instant::now();
    let backlog = match behavior {
        DiscoveryBehavior::AcceptsNothing => scenario.discovery.fill_backlog(),
        _ => Vec::new(),
    };
    sleep_until(out_from + outage);
    drop(backlog);
    let notified_at = Instant::now();
    scenario
        .discovery
        .change(DiscoveryBehavior::Answers, &drained);
    late_requests(&scenario, notified_at)
}

/// Guards against late requests after an outage of the agent (review case 2): a call, a watch or a
/// connect that had met the silent agent was waited for until its time limit.
#[test]
fn drained_backends_get_no_late_request_after_an_outage_of_the_agent() {
    let behaviors = [
        DiscoveryBehavior::FallsSilent,
        DiscoveryBehavior::AcceptsNothing,
        DiscoveryBehavior::ResetsFromQueue,
        DiscoveryBehavior::Closes,
        DiscoveryBehavior::StallsInAnswers,
    ];
    for outage_ms in OUTAGES_MS {
        let outage = Duration::from_millis(outage_ms);
        let late_requests = std::thread::scope(|scope| {
            let run = |behavior| (behavior, late_requests_after_outage(behavior, outage));
            behaviors
                .map(|behavior| scope.spawn(move || run(behavior)))
                .map(|case| case.join().unwrap())
        });
        let none = behaviors.map(|behavior| (behavior, 0));
        assert_eq!(late_requests, none, "after an outage of {outage_ms} ms");
    }
}

/// Guards against a stored list that is used although the agent has another one (review case 3):
/// what the agent has counts from the first moment of a process, and it may be silent then.
#[test]
fn a_stored_list_is_not_used_before_the_agent_has_answered_the_new_process() {
    const SILENCE: Duration = Duration::from_secs(4);
    let scenario = Scenario::start_with_prepared_agent(|agent, entries| {
        let drained: Vec<_> = entries[CHANGED]
            .iter()
            .map(|entry| with_status(entry, "draining"))
            .collect();
        agent.change(DiscoveryBehavior::FallsSilent, &drained);
    });
    let started_at = Instant::now();
    sleep_until(started_at + SILENCE);
    let back_at = Instant::now();
    scenario.discovery.change(DiscoveryBehavior::Answers, &[]);
    sleep_until(back_at + OBSERVED);
    let until = Instant::now();
    assert_eq!(scenario.requests_to(CHANGED, started_at, until), 0);
    assert!(scenario.requests_to(UNCHANGED, back_at, until) > 0);
}

/// Guards against a watch that falls silent while the agent lives: the proxy learnt of the agent's
/// changes only when the watch timed out.
#[test]
fn drained_backends_get_no_late_request_if_the_agent_has_lost_the_watch() {
    let scenario = Scenario::start_with_agent();
    wait_until("a watch is open", || scenario.discovery.is_watched());
    let drained = scenario.changed_entries("draining");
    let notified_at = Instant::now();
    let behavior = DiscoveryBehavior::LosesOpenCalls;
    scenario.discovery.change(behavior, &drained);
    assert_eq!(late_requests(&scenario, notified_at), 0);
}

/// Guards against a storm of calls to an agent that is slow, and against calls that are given up
/// before it answers them.
#[test]
fn a_slow_agent_gets_few_calls_and_its_list_is_used() {
    const OBSERVED: Duration = Duration::from_secs(5);
    /// One each 150 ms, as to an agent that holds each watch open for its wait, and the first one.
    const MAX_CALLS: usize = 5_000 / 150 + 1;
    const MAX_CONNECTIONS: usize = 4;
    let scenario = Scenario::start_with_agent();
    scenario
        .discovery
        .change(DiscoveryBehavior::AnswersSlowly, &[]);
    let calls_before = scenario.discovery.calls();
    let answers_before = scenario.discovery.answers_written();
    std::thread::sleep(OBSERVED);
    let calls = scenario.discovery.calls() - calls_before;
    let connections = scenario.discovery.max_open_connections();
    assert!(calls <= MAX_CALLS, "{calls} calls");
    assert!(connections <= MAX_CONNECTIONS, "{connections} connections");
    assert!(scenario.discovery.answers_written() > answers_before);
    let drained = scenario.changed_entries("draining");
    let behavior = DiscoveryBehavior::AnswersSlowly;
    scenario.discovery.change(behavior, &drained);
    wait_until("the list of the slow agent is used", || {
        let from = Instant::now();
        std::thread::sleep(Duration::from_secs(1));
        let until = Instant::now();
        let is_served = scenario.requests_to(UNCHANGED, from, until) > 0;
        is_served && scenario.requests_to(CHANGED, from, until) == 0
    });
}
