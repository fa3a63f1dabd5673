use super::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// What the scripted discovery service does with a call.
enum Reply {
    Snapshot(u64),
    Delta(u64),
    NoResponse,
    Reset,
}

/// A call that the service received.
#[derive(Debug)]
struct Call {
    at: Instant,
    path: String,
}

impl Call {
    /// The wait that the call specifies, or zero if it specifies none.
    fn wait(&self) -> Duration {
        let wait = self.path.split("wait_ms=").nth(1);
        Duration::from_millis(wait.map_or(0, |w| w.parse().expect("whole milliseconds")))
    }
}

/// A discovery service that follows a script and sends each call to `calls`. It runs in the same
/// thread as the watch, so that the paused clock advances only when both the service and the watch
/// are waiting.
async fn discovery_service(
    listener: TcpListener,
    script: Vec<Reply>,
    calls: mpsc::UnboundedSender<Call>,
) {
    let mut script = script.into_iter();
    let mut unanswered = Vec::new();
    loop {
        let stream = listener.accept().await.expect("a connection").0;
        let mut lines = BufReader::new(stream).lines();
        while let Some(path) = read_call(&mut lines).await {
            let at = Instant::now();
            let _ = calls.send(Call { at, path });
            match script.next() {
                Some(reply @ (Reply::Snapshot(version) | Reply::Delta(version))) => {
                    let response = list_response(version, matches!(reply, Reply::Snapshot(_)));
                    let stream = lines.get_mut().get_mut();
                    stream
                        .write_all(response.as_bytes())
                        .await
                        .expect("a written response");
                }
                Some(Reply::Reset) => {
                    let _ = lines.get_ref().get_ref().set_zero_linger();
                    break;
                }
                Some(Reply::NoResponse) | None => {
                    unanswered.push(lines);
                    break;
                }
            }
        }
    }
}

/// Reads a call up to the end of its head and returns its path, or `None` if the connection ends.
async fn read_call(lines: &mut Lines<BufReader<TcpStream>>) -> Option<String> {
    let mut path = None;
    while let Ok(Some(line)) = lines.next_line().await {
        if line.is_empty() {
            return path;
        }
        if let Some(target) = line.strip_prefix("GET ") {
            path = Some(target.replace(" HTTP/1.1", ""));
        }
    }
    None
}

fn list_response(version: u64, is_snapshot: bool) -> String {
    let list = format!(
        "{{\n  \"index\": {version},\n  \"snapshot\": {is_snapshot},\n  \"endpoints\": [ ]\n}}"
    );
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
    head + &list
}

const WATCH_MODE: DiscoveryMode = DiscoveryMode::Watch {
    poll_within: brookstack_balancer::Micros(10_000_000),
};

fn watcher(
    mode: DiscoveryMode,
    version: Option<u64>,
    poll_requested: Rc<Notify>,
    events: mpsc::UnboundedSender<DriverEvent>,
) -> EndpointWatcher {
    EndpointWatcher {
        mode,
        version,
        poll_requested,
        events,
        needs_confirmation: true,
        max_list_bytes: 4 << 20,
        random: rand_core::SeedableRng::seed_from_u64(3),
        watch_wait: WatchWait::new(),
        confirmed_at: None,
    }
}

/// Runs a watch against a service that follows `script`, until the service has received
/// `call_count` calls. `on_update` stands in for the balancer: it gets each update and can request
/// a poll.
async fn watch_calls(
    mode: DiscoveryMode,
    version: Option<u64>,
    script: Vec<Reply>,
    call_count: usize,
    on_update: impl Fn(EndpointUpdate, &Notify) + 'static,
) -> Vec<Call> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (events, mut updates) = mpsc::unbounded_channel();
    let (call_sender, mut received) = mpsc::unbounded_channel();
    let poll_requested = Rc::new(Notify::new());
    let watcher = watcher(mode, version, poll_requested.clone(), events);
    let (_address_sender, addresses) = watch::channel(address);
    let local = tokio::task::LocalSet::new();
    local.spawn_local(discovery_service(listener, script, call_sender));
    local.spawn_local(watcher.run(addresses));
    local.spawn_local(async move {
        poll_requested.notify_one();
        while let Some(event) = updates.recv().await {
            if let DriverEvent::EndpointsUpdated(update, _) = event {
                on_update(update, &poll_requested);
            }
        }
    });
    let all_calls = async {
        let mut calls = Vec::new();
        while calls.len() < call_count {
            calls.push(received.recv().await.expect("a call"));
        }
        calls
    };
    local.run_until(all_calls).await
}

fn poll_after_timeout(update: EndpointUpdate, poll_requested: &Notify) {
    if update == EndpointUpdate::WatchTimedOut {
        poll_requested.notify_one();
    }
}

/// Guards against a silent watch that is noticed too late: only an answer confirms the list, for
/// 6 s, of which the next call may take 2 s in the service's queue.
#[tokio::test(start_paused = true)]
async fn an_unanswered_call_times_out_soon_after_its_wait() {
    let script = vec![Reply::Snapshot(5), Reply::NoResponse, Reply::NoResponse];
    let calls = watch_calls(WATCH_MODE, Some(4), script, 3, poll_after_timeout).await;
    let unanswered = &calls[1];
    let wait = unanswered.wait();
    let path = &unanswered.path;
    assert!(wait.as_secs_f64() >= 2.0, "{path}");
    let open_for = calls[2].at - unanswered.at;
    let delay = open_for
        .checked_sub(wait)
        .expect("the call stays open for its wait");
    assert!(
        delay <= Duration::from_millis(750),
        "{delay:?} after the wait of {path}"
    );
    assert!(open_for < Duration::from_secs(4), "{open_for:?}");
}

/// Guards against a call to a silent agent that is waited for alone (review case 2): what the agent
/// has counts at once when it answers again, and may take half of the grace of 0.5 s.
#[tokio::test(start_paused = true)]
async fn a_silent_agent_gets_a_further_call_within_half_of_the_grace() {
    const CALLS: usize = 60;
    const HALF_OF_GRACE: Duration = Duration::from_millis(250);
    let mut script = vec![Reply::Snapshot(5)];
    script.resize_with(CALLS, || Reply::NoResponse);
    let calls = watch_calls(
        DiscoveryMode::Push,
        Some(4),
        script,
        CALLS,
        poll_after_timeout,
    )
    .await;
    let intervals = calls.windows(2).map(|pair| pair[1].at - pair[0].at);
    let longest = intervals.max().expect("calls");
    assert!(longest < HALF_OF_GRACE, "{longest:?}");
    let total = calls[CALLS - 1].at - calls[1].at;
    assert!(total >= Duration::from_secs(8), "too many calls: {total:?}");
}

/// The waits must be random. With equal waits all proxies would poll at the same time.
#[tokio::test(start_paused = true)]
async fn the_waits_of_calls_are_random() {
    let script = (1..10).map(Reply::Snapshot).collect();
    let calls = watch_calls(WATCH_MODE, Some(0), script, 10, poll_after_timeout).await;
    let watches = &calls[1..];
    let waits: std::collections::BTreeSet<Duration> = watches.iter().map(Call::wait).collect();
    assert!(waits.len() >= 8, "{waits:?}");
    assert!(
        waits
            .iter()
            .all(|wait| (2.0..=3.0).contains(&wait.as_secs_f64())),
        "{waits:?}"
    );
}

/// Guards against a poll that waits for a change of the list: until then nothing would show that
/// the list is current.
#[tokio::test(start_paused = true)]
async fn the_call_that_the_balancer_requests_does_not_wait_for_a_change() {
    let script = vec![
        Reply::Delta(4),
        Reply::NoResponse,
        Reply::Delta(4),
        Reply::Delta(4),
    ];
    let calls = watch_calls(WATCH_MODE, Some(4), script, 4, poll_after_timeout).await;
    let is_poll = |call: &Call| call.wait() <= Duration::from_millis(1);
    let are_polls: Vec<bool> = calls.iter().map(is_poll).collect();
    assert_eq!(are_polls, [true, false, true, false], "{calls:?}");
}

/// The balancer may request a poll while a call is open. If that request were kept and the call
/// failed, the next call would be made without the pause that the balancer wants after a failure.
#[tokio::test(start_paused = true)]
async fn a_poll_request_during_a_call_is_not_kept_for_later() {
    let script = vec![
        Reply::Snapshot(5),
        Reply::Snapshot(6),
        Reply::Reset,
        Reply::Snapshot(7),
    ];
    let calls = watch_calls(WATCH_MODE, Some(4), script, 4, |update, poll_requested| {
        if update == EndpointUpdate::Snapshot {
            poll_requested.notify_one(); // the next call is open by now
        }
    });
    let fourth_call = tokio::time::timeout(Duration::from_secs(3600), calls).await;
    assert!(
        fourth_call.is_err(),
        "the watch made a call that the balancer had not requested"
    );
}

/// The proxy counts as notified of the agent's list from its own start, and again as soon as the
/// agent can be reached after an outage. The proxy must request the complete list both times and
/// must not pause for long between failed calls.
#[tokio::test(start_paused = true)]
async fn a_snapshot_is_requested_from_an_agent_at_the_start_and_soon_after_failures() {
    let mut script: Vec<Reply> = (0..12).map(|_| Reply::Reset).collect();
    script.push(Reply::Snapshot(3));
    let calls = watch_calls(
        DiscoveryMode::Push,
        Some(41),
        script,
        14,
        poll_after_timeout,
    )
    .await;
    assert!(
        calls[..13].iter().all(|call| call.path == "/api/targets"),
        "{calls:?}"
    );
    assert!(
        calls[13].path.starts_with("/api/targets?after=3&"),
        "{calls:?}"
    );
    let intervals = calls.windows(2).map(|pair| pair[1].at - pair[0].at);
    assert!(
        intervals
            .clone()
            .all(|interval| interval <= Duration::from_millis(300)),
        "{:?}",
        intervals.max()
    );
}

/// A service that has restarted may count versions from the start again. A delta with a lower
/// version shows this, and the watch must then request the complete list.
#[tokio::test(start_paused = true)]
async fn after_a_delta_with_a_lower_version_a_snapshot_is_requested() {
    let script = vec![Reply::Delta(42), Reply::Delta(2), Reply::Snapshot(3)];
    let calls = watch_calls(WATCH_MODE, Some(41), script, 4, poll_after_timeout).await;
    let expected = [
        "/api/targets?after=41",
        "/api/targets?after=42",
        "/api/targets",
        "/api/targets?after=3",
    ];
    let paths_without_wait: Vec<&str> = calls
        .iter()
        .filter_map(|call| call.path.split('&').next())
        .collect();
    assert_eq!(paths_without_wait, expected);
}

/// If a configuration reload changes the discovery address while the balancer pauses after a
/// failure, the new service must be polled immediately, because the proxy counts as notified of its
/// list seconds later.
#[tokio::test(start_paused = true)]
async fn a_service_from_a_new_configuration_is_polled_immediately() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (events, _updates) = mpsc::unbounded_channel();
    let (call_sender, mut received) = mpsc::unbounded_channel();
    // The balancer requests no poll.
    let watcher = watcher(WATCH_MODE, Some(5), Rc::default(), events);
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let (address_sender, addresses) = watch::channel(unused_address);
    let local = tokio::task::LocalSet::new();
    local.spawn_local(discovery_service(
        listener,
        vec![Reply::Snapshot(2)],
        call_sender,
    ));
    local.spawn_local(watcher.run(addresses));
    local
        .run_until(async {
            tokio::task::yield_now().await;
            address_sender.send(address).expect("a running watch");
            let call = tokio::time::timeout(Duration::from_secs(1), received.recv()).await;
            let call = call.expect("a call in time").expect("a running service");
            assert_eq!(call.path, "/api/targets");
        })
        .await;
}

/// Guards against a failed connect that counts as proof that discovery is down: a service that is
/// crowded, and a lack of resources on this machine, fail connects too.
#[test]
fn a_connect_that_fails_shows_nothing_about_discovery() {
    // ENFILE, EMFILE, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNRESET, ETIMEDOUT, ECONNREFUSED and
    // EHOSTUNREACH on Linux.
    for number in [23, 24, 99, 101, 105, 104, 110, 111, 113] {
        let error = DiscoveryError::Connect(std::io::Error::from_raw_os_error(number));
        assert_eq!(
            WatchError::Failed(error).endpoint_update(),
            EndpointUpdate::WatchFailed,
            "{number}"
        );
    }
}

/// Guards against a list that counts as confirmed by an answer that is older than the list, from a
/// service that has restarted (related to incident 13624d): it may lack changes of which the proxy
/// counts as notified, and the call for the complete list may fail.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_older_than_the_list_does_not_confirm_it() {
    let (events, mut received) = mpsc::unbounded_channel();
    let mut watcher = watcher(WATCH_MODE, Some(5), Rc::default(), events);
    let mut age_of_answer = |version, is_snapshot| {
        let list = EndpointList {
            version,
            is_snapshot,
            endpoints: Vec::new(),
        };
        watcher.report_answer(
            Answer {
                list,
                begun_at: Instant::now(),
                service_time: Duration::ZERO,
            },
            CallKind::Watch,
        );
        let mut age = None;
        while let Ok(event) = received.try_recv() {
            if let DriverEvent::DiscoveryAnswered(answer) = event {
                age = Some(answer.age);
            }
        }
        age.expect("the answer is reported")
    };
    assert_eq!(age_of_answer(6, false), Micros(0));
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(age_of_answer(2, false), Micros(4_000_000));
    assert_eq!(age_of_answer(2, true), Micros(0));
}
