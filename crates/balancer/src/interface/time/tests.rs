use super::*;

#[test]
fn sums_and_differences_saturate() {
    assert_eq!(Time(u64::MAX) + Micros(1), Time(u64::MAX));
    assert_eq!(Micros(u64::MAX) + Micros(1), Micros(u64::MAX));
    assert_eq!(Time(5) - Time(7), Micros(0));
    assert_eq!(Time(7) - Time(5), Micros(2));
}

#[test]
fn spans_convert_to_seconds_and_back() {
    assert_eq!(Micros::from_secs(1.5), Micros(1_500_000));
    assert_eq!(Micros(1_500_000).secs(), 1.5);
    assert_eq!(Micros::from_secs(-1.0), Micros(0));
}

#[test]
fn a_multiple_of_a_span_is_rounded_down_to_whole_microseconds() {
    assert_eq!(Micros(1_001).times(0.5), Micros(500));
    assert_eq!(Micros(1_000).times(-2.0), Micros(0));
}
