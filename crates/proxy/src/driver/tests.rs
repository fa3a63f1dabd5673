use super::in_flight_attempt::InFlightAttempt;
use super::*;
use crate::attempt::SendProgress;
use crate::test_fixtures::{empty_request, memory_budget, open_id, resolved_endpoint};
use crate::tracked_stream::StreamProgress;
use brookstack_balancer::{AttemptNumber, BackendId, BackendState, ClassId, Outcome};
use bytes::Bytes;
use hyper::Response;
use std::net::{SocketAddr, TcpListener};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

const REQUEST: RequestId = RequestId(1);
const BACKEND: BackendId = BackendId(7);

/// A driver with one pending request, [`REQUEST`].
struct TestDriver {
    driver: Driver,
    response: oneshot::Receiver<FinalResponse>,
    _events: mpsc::UnboundedReceiver<DriverEvent>,
}

impl TestDriver {
    fn new() -> TestDriver {
        TestDriver::with_config(Config::example())
    }

    fn with_config(balancer_config: Config) -> TestDriver {
        let clock = Clock::new();
        let second = Micros(1_000_000);
        let (sender, events) = mpsc::unbounded_channel();
        let mut driver = Driver::new(DriverParts {
            clock,
            balancer_config,
            seed: 1,
            max_pending_requests: 8,
            pool: Rc::new(ConnectionPool::new(
                clock,
                second,
                second,
                8,
                memory_budget(),
            )),
            events: sender,
            poll_requested: Rc::default(),
            status: Rc::default(),
        })
        .expect("a valid configuration");
        let (reply, response) = oneshot::channel();
        driver.handle_event(DriverEvent::RequestArrived(IncomingRequest {
            id: REQUEST,
            class: ClassId(0),
            tenant: None,
            deadline: clock.now() + second,
            work_hint: None,
            is_retry: false,
            forwarded: empty_request(),
            open_id: open_id(),
            reply,
        }));
        TestDriver {
            driver,
            response,
            _events: events,
        }
    }

    fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        state: BackendState,
        address: SocketAddr,
    ) {
        let target = resolved_endpoint(BACKEND.0, state, address);
        let event = DriverEvent::EndpointsUpdated(update, vec![target]);
        self.driver.handle_event(event);
    }

    /// Dispatches the request to the backend. If that starts an attempt, lets its task run until it
    /// connects.
    async fn dispatch(&mut self) {
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async {
                let now = self.driver.clock.now();
                self.driver.dispatch(now, REQUEST, BACKEND);
                tokio::task::yield_now().await;
            })
            .await;
    }

    /// Adds the request's first attempt, as if it had been dispatched. `progress` tells how much of
    /// it has been sent.
    fn add_first_attempt(&mut self, progress: Rc<SendProgress>, task: AbortHandle) {
        let dispatched_at = self.driver.clock.now();
        let pending = self.driver.pending.get_mut(REQUEST).expect("pending");
        let attempt = pending.next_attempt_number();
        let in_flight = InFlightAttempt {
            id: AttemptId {
                request: REQUEST,
                attempt,
            },
            dispatched_at,
            progress,
            response_held_at: None,
            task,
        };
        pending.attempts.insert(attempt, in_flight);
    }

    /// The attempt number, the outcome and whether the request is settled, from the last event that
    /// was reported to the balancer.
    fn last_attempt_end(&self) -> (AttemptNumber, Outcome, bool) {
        let last_event = self.driver.balancer.reported_events().last();
        let Some(Event::AttemptEnded(end)) = last_event else {
            panic!("expected the end of an attempt, got {last_event:?}")
        };
        (end.attempt, end.outcome, end.settled)
    }
}

/// A listener whose `accept` fails immediately if no connection is waiting.
fn nonblocking_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("non-blocking mode");
    listener
}

/// If the balancer dispatches a request to a backend that started to drain or was removed within
/// the same tick, the attempt must end as not sent without opening a connection.
#[tokio::test]
async fn a_dispatch_to_a_backend_that_just_drained_or_was_removed_is_not_sent() {
    let listener = nonblocking_listener();
    let address = listener.local_addr().expect("its address");
    for state in [BackendState::Draining, BackendState::Removed] {
        let mut test = TestDriver::new();
        test.update_endpoints(EndpointUpdate::Snapshot, BackendState::Ready, address);
        test.update_endpoints(EndpointUpdate::Delta, state, address);
        test.dispatch().await;
        assert_eq!(
            test.last_attempt_end(),
            (AttemptNumber(0), Outcome::NotSent, false)
        );
        assert!(listener.accept().is_err(), "connected though {state:?}");
    }
}

/// If the balancer dispatches a request whose client disconnected within the same tick, the attempt
/// must end as not sent without opening a connection.
#[tokio::test]
async fn a_dispatch_for_a_client_that_just_disconnected_is_not_sent() {
    let listener = nonblocking_listener();
    let address = listener.local_addr().expect("its address");
    let mut test = TestDriver::new();
    test.update_endpoints(EndpointUpdate::Snapshot, BackendState::Ready, address);
    test.driver
        .handle_event(DriverEvent::ClientDisconnected(REQUEST));
    test.dispatch().await;
    assert_eq!(
        test.last_attempt_end(),
        (AttemptNumber(0), Outcome::NotSent, true)
    );
    assert!(listener.accept().is_err(), "connected");
}

/// A backend starts to execute a request only when it gets the last byte. If the client disconnects
/// before an attempt is completely written, the attempt must be aborted, even if the settings do
/// not allow cancellation.
#[tokio::test]
async fn a_client_disconnect_aborts_attempts_that_are_not_completely_written() {
    for write_completed in [false, true] {
        let mut config = Config::example();
        config.cancellation_allowed = false;
        let mut test = TestDriver::with_config(config);
        let stream_progress = Rc::new(StreamProgress::default());
        stream_progress.write_started.set(true);
        stream_progress.write_completed.set(write_completed);
        let progress = Rc::new(SendProgress::default());
        progress.track(stream_progress);
        let task = tokio::spawn(std::future::pending::<()>());
        test.add_first_attempt(progress, task.abort_handle());
        test.driver
            .handle_event(DriverEvent::ClientDisconnected(REQUEST));
        tokio::task::yield_now().await;
        assert_eq!(task.is_finished(), !write_completed);
        let pending = test.driver.pending.get_mut(REQUEST).expect("pending");
        assert_eq!(pending.attempts.len(), usize::from(write_completed));
    }
}

/// Guards against a backend that is ejected for a time-out although it has responded: its response
/// was held back up to the deadline.
#[tokio::test]
async fn a_deadline_during_a_hold_is_no_time_out_of_the_backend() {
    let mut test = TestDriver::new();
    let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
    test.add_first_attempt(Rc::default(), task);
    let id = AttemptId {
        request: REQUEST,
        attempt: AttemptNumber(0),
    };
    test.driver.handle_event(DriverEvent::ResponseHeld(id));
    let driver = &mut test.driver;
    driver
        .pending
        .expire_deadlines(Time::NEVER, &mut driver.balancer);
    assert_eq!(
        test.last_attempt_end(),
        (AttemptNumber(0), Outcome::Cancelled, false)
    );
}

/// The balancer may dispatch a hedged attempt in the tick in which the response arrived. Its end
/// must be reported under the second attempt's number, and the response must not wait for the tick.
#[tokio::test]
async fn an_attempt_after_the_response_is_reported_under_its_own_number() {
    let mut test = TestDriver::new();
    let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
    test.add_first_attempt(Rc::default(), task);
    let id = AttemptId {
        request: REQUEST,
        attempt: AttemptNumber(0),
    };
    let result = AttemptResult {
        outcome: Outcome::Success,
        response: Some(Response::new(Bytes::new())),
        connection_rejected: false,
        has_answered: true,
    };
    test.driver
        .handle_event(DriverEvent::AttemptEnded(id, result));
    assert!(
        matches!(test.response.try_recv(), Ok(FinalResponse::Served(_))),
        "the response is sent before the next tick"
    );
    let now = test.driver.clock.now();
    test.driver.dispatch(now, REQUEST, BACKEND);
    assert_eq!(
        test.last_attempt_end(),
        (AttemptNumber(1), Outcome::NotSent, true)
    );
    test.driver.pending.drop_finished();
    assert!(test.driver.pending.is_empty());
}
