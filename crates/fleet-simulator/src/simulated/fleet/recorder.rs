//! Records the times of requests and the late attempts, from which the results of a run are made.

use crate::histogram::new_histogram;
use crate::simulated::context::MeasurementWindow;
use crate::simulated::propagation::Lateness;
use crate::simulated::results::LateAttempts;
use brookstack_balancer::{Micros, Time};
use hdrhistogram::Histogram;

/// Records the times of requests in the measurement window, and the late attempts of the entire
/// run.
pub(super) struct Recorder {
    window: MeasurementWindow,
    /// The times from the arrival of a request to its first attempt, us.
    pub(super) queue_delays: Histogram<u64>,
    /// The times from the arrival of a request to its response, us.
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

/// Records a duration as at least 1 us, the smallest value that the histogram can record.
fn record(histogram: &mut Histogram<u64>, time: Micros) {
    histogram.saturating_record(time.0.max(1));
}
