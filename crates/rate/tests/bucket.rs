//! Token buckets.

use std::time::Duration;

use rate::{
    bucket::Bucket,
    statement::{self, MAX_RATE, MIN_RATE, Statement},
};
use wire::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Guards against more requests than the rate and a quarter of a second allow, however often the
/// bucket is asked.
#[test]
fn a_bucket_keeps_its_rate() {
    for rate in [0.2, 1.0, 3.3, 40.0, 1_000.0] {
        let mut bucket = Bucket::empty(Instant(0));
        let mut taken = 0;
        for ms in 0..10_000 {
            bucket.refill(Instant(ms * 1_000), rate);
            while bucket.has_permit() {
                bucket.take();
                taken += 1;
            }
        }
        let allowed = rate * 10.0;
        assert!(f64::from(taken) <= allowed, "{taken} of {allowed}");
        assert!(f64::from(taken) >= allowed - 1.0 - allowed / 100.0, "{taken} of {allowed}");
    }
}

/// Guards against a timer that fires before the permit is there.
#[test]
fn a_permit_is_there_when_it_is_due() {
    for rate in [0.2, 0.7, 1.8, 3.3, 7.0, 61.0] {
        let mut bucket = Bucket::empty(Instant(17));
        let due = bucket.next_permit(rate).expect("a time");
        bucket.refill(due, rate);
        assert!(bucket.has_permit(), "rate {rate}");
    }
}

/// Guards against permits that accumulated at a higher rate.
#[test]
fn a_lower_rate_shrinks_the_bucket() {
    let mut bucket = Bucket::empty(Instant(0));
    bucket.refill(Instant(0) + 1_000 * MS, 100.0);
    bucket.refill(Instant(0) + 1_000 * MS, 1.0);
    assert!(!bucket.has_permit());
}

/// Guards against numbers that no bucket can work with.
#[test]
fn limits_are_bounded() {
    let rate = |per_s| Statement::new(Some(per_s), Instant(0)).rate();
    assert_eq!(rate(f64::NAN), Some(MIN_RATE));
    assert_eq!(rate(-3.0), Some(MIN_RATE));
    assert_eq!(rate(f64::INFINITY), Some(MAX_RATE));
    assert_eq!(rate(1.8), Some(1.8));
    for text in ["", "x", "-1", "NaN", "inf", "1,8"] {
        assert_eq!(statement::parse(text), None, "{text}");
    }
    assert_eq!(statement::parse(" 1.8 "), Some(1.8));
}
