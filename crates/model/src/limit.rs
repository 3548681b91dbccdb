//! Limit that an upstream names: the requests a second that it takes from all nodes together.

use std::fmt;
use std::str;

/// Largest rate, in requests a second; no upstream gets more anyway.
const LARGEST: f64 = 1e6;

/// Requests a second: finite, and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// The field of an answer in which its upstream names a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Field {
    /// It names none, so none is in force.
    #[default]
    Absent,
    /// It names one that cannot be read, which changes nothing.
    Malformed,
    /// It names this one.
    Limit(Rate),
}

/// A text or number that is no rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Rate {
    /// Makes a rate; one beyond what any upstream gets becomes the largest.
    ///
    /// # Errors
    ///
    /// Fails for a negative number, and for one that is not finite.
    pub fn new(per_second: f64) -> Result<Self, Malformed> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second.min(LARGEST))),
            false => Err(Malformed),
        }
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl str::FromStr for Rate {
    type Err = Malformed;

    /// Reads a decimal number, such as `3`, `0.2` or `1e3`.
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
    /// Reads the values of the fields that name a limit: the lowest of those that can be read counts.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let rate = |text: Option<&str>| text.and_then(|text| text.parse::<Rate>().ok());
        let fields = values.map(|text| rate(text).map_or(Self::Malformed, Self::Limit));
        fields.fold(Self::Absent, Self::lower)
    }

    fn lower(self, other: Self) -> Self {
        match (self, other) {
            (Self::Limit(a), Self::Limit(b)) => Self::Limit(if b < a { b } else { a }),
            (limit @ Self::Limit(_), _) | (_, limit @ Self::Limit(_)) => limit,
            (_, other) => other,
        }
    }
}
