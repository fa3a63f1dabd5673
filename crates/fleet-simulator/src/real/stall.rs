//! Measures stalls of the data path. The proxy has a single thread, so requests have to wait while
//! it handles an event, such as a new endpoint list. Probes that are sent around the event show how
//! long the requests wait.

use super::client::{self, RoundTrip};
use crate::failure::Failure;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The number of events of each kind.
pub(super) const EVENTS: usize = 5;
/// The time between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(600);
/// The time after an event in which its stall is measured.
const STALL_WINDOW: Duration = Duration::from_millis(400);
/// How long probes are sent around the events of one kind. This is a little longer than all
/// [`EVENTS`] take.
pub(super) const PROBE_SPAN: Duration = Duration::from_millis(3_600);

/// Statistics of the stalls after the events of one kind. The stall of an event is the longest
/// round trip of a probe that overlaps with the 400 ms after the event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Stall {
    /// The median stall, ms.
    pub median_ms: f64,
    /// The longest stall, ms. On a shared machine, it may be caused by other programs.
    pub longest_ms: f64,
}

impl Stall {
    /// Computes the statistics from the round trips of probes and the times of the events.
    pub fn of(round_trips: &[RoundTrip], events: &[Instant]) -> Stall {
        let mut longest_ms: Vec<f64> = events
            .iter()
            .map(|event| longest_around(round_trips, *event))
            .collect();
        longest_ms.sort_by(f64::total_cmp);
        let at = |position: usize| longest_ms.get(position).copied().unwrap_or(0.0);
        Stall {
            median_ms: at(longest_ms.len() / 2),
            longest_ms: at(longest_ms.len().saturating_sub(1)),
        }
    }
}

/// The longest round trip that overlaps with [`STALL_WINDOW`] after an event, ms.
fn longest_around(round_trips: &[RoundTrip], event: Instant) -> f64 {
    round_trips
        .iter()
        .filter(|trip| trip.sent_at + trip.duration >= event)
        .filter(|trip| trip.sent_at < event + STALL_WINDOW)
        .map(|trip| trip.duration.as_secs_f64() * 1000.0)
        .fold(0.0, f64::max)
}

/// The stalls around the events of one kind.
pub(super) struct StallMeasurement {
    pub(super) stall: Stall,
    /// The number of probes in the measurement.
    pub(super) probes: usize,
}

/// Probes the data path while it calls `cause_event` [`EVENTS`] times. The argument of
/// `cause_event` is the number of the event, from 0.
pub(super) async fn measure_stalls(
    proxy: SocketAddr,
    cause_event: impl FnMut(usize),
) -> Result<StallMeasurement, Failure> {
    let probes = client::probe_for(proxy, PROBE_SPAN);
    let (round_trips, events) = tokio::join!(probes, cause_events(cause_event));
    let round_trips = round_trips?;
    Ok(StallMeasurement {
        stall: Stall::of(&round_trips, &events),
        probes: round_trips.len(),
    })
}

/// Causes the events at intervals of [`EVENT_INTERVAL`], and returns their times.
async fn cause_events(mut cause_event: impl FnMut(usize)) -> Vec<Instant> {
    let mut times = Vec::new();
    for number in 0..EVENTS {
        tokio::time::sleep(EVENT_INTERVAL).await;
        times.push(Instant::now());
        cause_event(number);
    }
    times
}
