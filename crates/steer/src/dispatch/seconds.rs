//! Seconds as a floating-point number, for estimates that are averaged and compared.
//!
//! `std::time::Duration` rounds to nanoseconds, which could change the order of two nearly equal
//! estimates and so the selected upstream.

use std::time::Duration;

/// A duration in seconds; may be negative or infinite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Seconds(pub f64);

impl From<Duration> for Seconds {
    fn from(duration: Duration) -> Self {
        Self(duration.as_secs_f64())
    }
}
