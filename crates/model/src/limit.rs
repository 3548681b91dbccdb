//! The response header field in which an upstream limits the requests per second that it accepts
//! from all nodes together.

use std::fmt;
use std::str;

/// Highest rate; no upstream gets more requests than this anyway.
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;

/// A rate in requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Parsed value of the header field.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Field {
    /// The field is missing, so no limit is in force.
    #[default]
    Absent,
    /// The value is invalid and has no effect.
    Malformed,
    /// The limit that the upstream sets.
    Limit(Rate),
}

/// Error for a text or number that is not a valid rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Rate {
    /// Creates a rate, capped at one million requests per second.
    ///
    /// # Errors
    ///
    /// Returns an error for a number that is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, Malformed> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second.min(MAX_REQUESTS_PER_SECOND))),
            false => Err(Malformed),
        }
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl str::FromStr for Rate {
    type Err = Malformed;

    /// Parses a decimal number such as `3`, `0.2` or `1e3`.
    fn from_str(text: &str) -> Result<Self, Malformed> {
        Self::new(text.trim().parse().map_err(|_| Malformed)?)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Field {
    /// Combines the values of repeated fields: the lowest valid limit applies.
    ///
    /// A value is `None` if it is not valid text.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let rate = |text: Option<&str>| text.and_then(|text| text.parse::<Rate>().ok());
        let fields = values.map(|text| rate(text).map_or(Self::Malformed, Self::Limit));
        fields.fold(Self::Absent, Self::combine)
    }

    fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Limit(a), Self::Limit(b)) => Self::Limit(if b < a { b } else { a }),
            (limit @ Self::Limit(_), _) | (_, limit @ Self::Limit(_)) => limit,
            (_, other) => other,
        }
    }
}
