//! The record of requests and attempts that a run's figures are made of.

use crate::histogram::new_histogram;
use crate::simulated::context::MeasurementWindow;
use crate::simulated::figures::LateAttempts;
use crate::simulated::propagation::Lateness;
use brookstack_balancer::{Micros, Time};
use hdrhistogram::Histogram;

/// Records times of requests in the measurement window, and late attempts of the whole run.
pub(super) struct Recorder {
    window: MeasurementWindow,
    /// From a request's arrival to its first attempt, us.
    pub(super) queue_delays: Histogram<u64>,
    /// From a request's arrival to its answer, us.
    pub(super) latencies: Histogram<u64>,
    pub(super) late_attempts: LateAttempts,
}

impl Recorder {
    pub(super) fn new(window: MeasurementWindow) -> Recorder {
        Recorder {
            window,
            queue_delays: new_histogram(),
            latencies: new_histogram(),
            late_attempts: LateAttempts::default(),
        }
    }

    pub(super) fn record_queue_delay(&mut self, now: Time, delay: Micros) {
        if self.window.contains(now) {
            record(&mut self.queue_delays, delay);
        }
    }

    pub(super) fn record_latency(&mut self, now: Time, latency: Micros) {
        if self.window.contains(now) {
            record(&mut self.latencies, latency);
        }
    }

    pub(super) fn record_attempt(&mut self, lateness: Lateness) {
        match lateness {
            Lateness::InTime => {}
            Lateness::AfterNotification => self.late_attempts.after_notification += 1,
            Lateness::AfterDeadline => self.late_attempts.after_deadline += 1,
        }
    }
}

/// Records a time, at least 1 us: the histogram does not resolve less.
fn record(histogram: &mut Histogram<u64>, time: Micros) {
    histogram.saturating_record(time.0.max(1));
}
