//! Wakes the event loop when scheduled work, such as a tick, is due and no event arrives before.

use crate::clock::Clock;
use brookstack_balancer::Time;
use std::pin::Pin;
use tokio::time::Sleep;

/// A timer whose underlying `Sleep` is reset only if the expiry time changes or the timer has
/// expired.
pub struct WakeupTimer {
    clock: Clock,
    sleep: Pin<Box<Sleep>>,
    /// The time at which `sleep` ends, or `None` if it must be reset.
    expires_at: Option<Time>,
}

impl WakeupTimer {
    /// Creates a timer that has not been set.
    pub fn new(clock: Clock) -> WakeupTimer {
        let now = clock.instant(clock.now());
        WakeupTimer {
            clock,
            sleep: Box::pin(tokio::time::sleep_until(now)),
            expires_at: None,
        }
    }

    /// Sets the timer. If `expires_at` is more than an hour ahead, the timer expires in an hour.
    pub fn set(&mut self, expires_at: Time) {
        if self.expires_at != Some(expires_at) {
            self.expires_at = Some(expires_at);
            let instant = self.clock.instant(expires_at);
            self.sleep.as_mut().reset(instant);
        }
    }

    /// Completes when the timer expires. Cancel safe: the future may be dropped, and `expired`
    /// called again.
    pub async fn expired(&mut self) {
        self.sleep.as_mut().await;
        self.expires_at = None;
    }
}
