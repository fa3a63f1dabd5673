use super::*;

const PROXIES: u32 = 1_100;
const START: Time = Time(1_000_000_000);

/// The number of subsets that a proxy chooses at its first update.
fn first_count(backend_count: usize, proxy_count: u32) -> u32 {
    let mut count = SubsetCount::new();
    count.update(START, backend_count, proxy_count);
    count.get()
}

#[test]
fn the_subset_count_is_limited_by_the_numbers_of_backends_and_proxies() {
    assert_eq!(first_count(479, PROXIES), 1);
    assert_eq!(first_count(480, PROXIES), 2);
    assert_eq!(first_count(17_000, PROXIES), 64);
    assert_eq!(first_count(17_000, 15), 1);
    assert_eq!(first_count(17_000, 16), 2);
    assert_eq!(first_count(17_000, 511), 32);
}

#[test]
fn a_new_subset_count_is_kept_for_five_minutes_while_the_size_is_tolerated() {
    let mut count = SubsetCount::new();
    assert!(count.update(START, 480, PROXIES));
    let too_small = 479;
    let just_before = Time(START.0 + MIN_COUNT_CHANGE_INTERVAL.0 - 1);
    assert!(!count.update(just_before, too_small, PROXIES));
    assert_eq!(count.get(), 2);
    assert!(count.update(START + MIN_COUNT_CHANGE_INTERVAL, too_small, PROXIES));
    assert_eq!(count.get(), 1);
}

#[test]
fn a_subset_size_out_of_tolerance_changes_the_subset_count_immediately() {
    let mut count = SubsetCount::new();
    assert!(count.update(START, 480, PROXIES));
    assert!(
        !count.update(START, 384, PROXIES),
        "192 backends per subset"
    );
    assert!(
        count.update(START, 383, PROXIES),
        "less than 192 backends per subset"
    );
    assert_eq!(count.get(), 1);

    let mut count = SubsetCount::new();
    assert!(count.update(START, 480, PROXIES));
    assert!(
        !count.update(START, 1_199, PROXIES),
        "less than 600 backends per subset"
    );
    assert!(
        count.update(START, 1_200, PROXIES),
        "600 backends per subset"
    );
    assert_eq!(count.get(), 4);
}
