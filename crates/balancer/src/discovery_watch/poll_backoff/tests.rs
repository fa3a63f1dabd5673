use super::*;

const POLL_WITHIN: Micros = Micros(10_000_000);

fn config_with_proxies(proxy_count: u32) -> Config {
    Config {
        proxy_count,
        ..Config::example()
    }
}

/// The backoffs after `rejections` consecutive rejected polls, in milliseconds.
fn after_rejections(proxy_count: u32, random: f64, rejections: usize) -> Vec<u64> {
    let config = config_with_proxies(proxy_count);
    let mut backoff = PollBackoff::default();
    let mut backoffs = Vec::new();
    for _ in 0..rejections {
        let next = backoff.after_rejection(&config, POLL_WITHIN, random);
        backoffs.push(next.0 / 1_000);
    }
    backoffs
}

#[test]
fn the_backoff_of_four_proxies_doubles_up_to_an_eighth_of_poll_within() {
    let expected = [100, 200, 400, 800, 1_250, 1_250];
    assert_eq!(after_rejections(4, 0.0, 6), expected);
}

#[test]
fn the_second_backoff_of_more_than_four_proxies_is_the_longest() {
    assert_eq!(after_rejections(5, 0.0, 3), [100, 1_250, 1_250]);
    assert_eq!(after_rejections(100, 0.0, 3), [100, 2_250, 2_250]);
    assert_eq!(after_rejections(1_000, 0.0, 3), [100, 5_000, 5_000]);
}

#[test]
fn a_rejection_backoff_is_reduced_by_up_to_a_fifth_at_random() {
    assert_eq!(after_rejections(4, 0.5, 3), [90, 180, 360]);
    assert_eq!(after_rejections(4, 1.0, 3), [80, 160, 320]);
}

#[test]
fn the_backoff_after_queueing_is_random_within_half_a_poll_round_and_then_within_one_round() {
    let config = config_with_proxies(100);
    let mut backoff = PollBackoff::default();
    assert_eq!(backoff.after_queueing(&config, 1.0), Micros(4_000_000));
    assert_eq!(backoff.after_queueing(&config, 1.0), Micros(8_000_000));
    assert_eq!(backoff.after_queueing(&config, 0.25), Micros(2_000_000));
}

#[test]
fn a_response_resets_the_backoff() {
    let config = config_with_proxies(4);
    let mut backoff = PollBackoff::default();
    backoff.after_rejection(&config, POLL_WITHIN, 0.0);
    backoff.after_rejection(&config, POLL_WITHIN, 0.0);
    backoff.reset();
    let next = backoff.after_rejection(&config, POLL_WITHIN, 0.0);
    assert_eq!(next, Micros(100_000));
}
