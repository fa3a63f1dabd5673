//! Waits for a condition with a time limit.

use std::time::{Duration, Instant};

/// The time limit of each wait. It is far longer than any step of these tests takes, so that only a
/// failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls a condition until it holds. Panics after [`TEST_TIMEOUT`] with `description`, a clause
/// that describes the condition.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
