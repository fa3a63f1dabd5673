//! Wakes the event loop at the time when something is due without any event.

use crate::clock::Clock;
use brookstack_balancer::Time;
use std::pin::Pin;
use tokio::time::Sleep;

/// A timer that is set again only if its time changes or it has expired.
pub struct WakeupTimer {
    clock: Clock,
    sleep: Pin<Box<Sleep>>,
    /// The time at which `sleep` ends; `None` if it has to be set again.
    expires_at: Option<Time>,
}

impl WakeupTimer {
    /// A timer that has not been set.
    pub fn new(clock: Clock) -> WakeupTimer {
        let now = clock.instant(clock.now());
        WakeupTimer {
            clock,
            sleep: Box::pin(tokio::time::sleep_until(now)),
            expires_at: None,
        }
    }

    /// Sets the timer. A time that lies more than an hour ahead expires in an hour.
    pub fn set(&mut self, expires_at: Time) {
        if self.expires_at != Some(expires_at) {
            self.expires_at = Some(expires_at);
            let instant = self.clock.instant(expires_at);
            self.sleep.as_mut().reset(instant);
        }
    }

    /// Completes when the timer expires. The future may be dropped and called for again.
    pub async fn expired(&mut self) {
        self.sleep.as_mut().await;
        self.expires_at = None;
    }
}
