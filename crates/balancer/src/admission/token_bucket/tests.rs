use super::*;
use crate::Micros;

const START: Time = Time(1_000_000);

/// Takes tokens until none is left; returns how many were taken.
fn drain(bucket: &mut TokenBucket, now: Time, rate: f64) -> u32 {
    let mut taken = 0;
    while bucket.take(now, rate) {
        taken += 1;
    }
    taken
}

#[test]
fn a_bucket_starts_full_with_the_tokens_of_two_seconds() {
    let mut bucket = TokenBucket::default();
    assert_eq!(drain(&mut bucket, START, 5.0), 10);
}

#[test]
fn an_empty_bucket_is_refilled_at_its_rate() {
    let mut bucket = TokenBucket::default();
    drain(&mut bucket, START, 5.0);
    let later = START + Micros(600_000);
    assert_eq!(drain(&mut bucket, later, 5.0), 3);
}

#[test]
fn a_bucket_holds_no_more_than_its_capacity() {
    let mut bucket = TokenBucket::default();
    drain(&mut bucket, START, 5.0);
    let much_later = START + Micros(60_000_000);
    assert_eq!(drain(&mut bucket, much_later, 5.0), 10);
}

#[test]
fn a_bucket_with_a_low_rate_still_holds_one_token() {
    let mut bucket = TokenBucket::default();
    assert_eq!(drain(&mut bucket, START, 0.1), 1);
    assert!(!bucket.take(START + Micros(9_000_000), 0.1));
    assert!(bucket.take(START + Micros(11_000_000), 0.1));
}

#[test]
fn fractions_of_a_token_accumulate() {
    let mut bucket = TokenBucket::default();
    drain(&mut bucket, START, 2.0);
    assert!(!bucket.take(START + Micros(250_000), 2.0));
    assert!(bucket.take(START + Micros(500_000), 2.0));
}
