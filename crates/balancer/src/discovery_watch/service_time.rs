//! An estimate of how long discovery works on a call, learned from the answered calls.

use crate::Micros;

/// Shortest estimate. A shorter one would make hundreds of proxies call almost at once.
const MIN_SERVICE_TIME: Micros = Micros(4_000);
/// Weight of a sample that is longer than the estimate. It is small because such a call has
/// probably waited in the queue.
const LONGER_SAMPLE_WEIGHT: f64 = 0.125;

/// The estimated service time. It starts without a value.
#[derive(Default)]
pub(super) struct ServiceTime {
    estimate: Option<Micros>,
    /// Whether the host reports the time of each answer.
    is_measured_by_host: bool,
}

impl ServiceTime {
    /// Records the service time that the host measured for an answer.
    pub fn record_measured(&mut self, sample: Micros) {
        self.is_measured_by_host = true;
        self.record(sample);
    }

    /// Records the time from a poll to its answer, if the host measures no service times.
    pub fn record_poll(&mut self, latency: Micros) {
        if !self.is_measured_by_host {
            self.record(latency);
        }
    }

    fn record(&mut self, sample: Micros) {
        let estimate = self.estimate.map_or(sample, |known| {
            let excess = Micros(sample.0.saturating_sub(known.0));
            sample.min(known) + excess.times(LONGER_SAMPLE_WEIGHT)
        });
        self.estimate = Some(estimate.max(MIN_SERVICE_TIME));
    }

    /// The estimate; `None` before the first answer.
    pub fn estimate(&self) -> Option<Micros> {
        self.estimate
    }
}

#[cfg(test)]
mod tests;
