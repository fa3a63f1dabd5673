use super::*;
use crate::test_fixtures::*;
use crate::{AttemptNumber, ClassId, Config, EndpointUpdate, RequestId};

const BACKEND: BackendId = BackendId(1);

/// A detector without a balancer, with one backend.
struct Setup {
    detector: OutlierDetector,
    backends: BackendTable,
    latencies: LatencyEstimates,
    rng: Rng,
}

impl Setup {
    fn new() -> Setup {
        let config = Config::example();
        let mut backends = BackendTable::default();
        backends.apply_update(EndpointUpdate::Snapshot, vec![endpoint(BACKEND.0)]);
        backends.update_readiness(START, &config);
        Setup {
            detector: OutlierDetector::default(),
            backends,
            latencies: LatencyEstimates::new(&config),
            rng: Rng::new(1),
        }
    }

    /// Ends an attempt that was sent at [`START`]; returns whether the backend was ejected.
    fn end_attempt(&mut self, now: Time, outcome: Outcome) -> bool {
        let end = AttemptEnd {
            request: RequestId(1),
            attempt: AttemptNumber(0),
            outcome,
            latency: now - START,
            settled: false,
        };
        self.detector.record_outcome(
            now,
            &attempt(),
            &end,
            &mut self.backends,
            &self.latencies,
            &mut self.rng,
        )
    }

    fn is_usable(&self) -> bool {
        self.backends.get(BACKEND).expect("listed").is_usable()
    }
}

fn attempt() -> InFlightAttempt {
    InFlightAttempt {
        backend: BACKEND,
        process_started_at: None,
        class: ClassId(0),
        sent_at: START,
        counted_late: false,
        is_held: false,
    }
}

#[test]
fn two_consecutive_errors_eject_a_backend() {
    let mut setup = Setup::new();
    assert!(!setup.end_attempt(START, Outcome::Error));
    assert!(setup.is_usable());
    assert!(setup.end_attempt(START, Outcome::Error));
    assert!(!setup.is_usable());
}

#[test]
fn a_single_rejection_ejects_no_backend_even_at_long_request_intervals() {
    let mut setup = Setup::new();
    setup.detector.update_request_interval(1_000, Some(0.1));
    assert!(!setup.end_attempt(START, Outcome::Rejected));
    assert!(setup.end_attempt(START, Outcome::Rejected));
}

#[test]
fn a_timeout_ejects_a_backend_that_has_not_responded_since_the_dispatch() {
    let mut setup = Setup::new();
    setup.end_attempt(START + SECOND, Outcome::Success);
    assert!(!setup.end_attempt(START + SECOND, Outcome::TimedOut));
    assert!(Setup::new().end_attempt(START + SECOND, Outcome::TimedOut));
}

#[test]
fn an_overdue_attempt_marks_its_backend_as_unresponsive_until_the_mark_is_cleared() {
    let mut setup = Setup::new();
    let overdue_at = START
        + setup
            .latencies
            .typical(ClassId(0))
            .times(UNRESPONSIVE_LATENCY_MULTIPLE);
    for (now, is_usable) in [(Time(overdue_at.0 - 1), true), (overdue_at, false)] {
        let Setup {
            detector,
            backends,
            latencies,
            ..
        } = &mut setup;
        let next_check = detector.check_attempt(now, &attempt(), backends, latencies);
        assert!(next_check > now);
        assert_eq!(setup.is_usable(), is_usable);
    }
    assert!(setup.detector.clear_unresponsive(&mut setup.backends));
    assert!(setup.is_usable());
    assert!(!setup.detector.clear_unresponsive(&mut setup.backends));
}
