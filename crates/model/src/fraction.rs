//! Fixed-point fractions, so that the parts of a traffic split add up to exactly one.

use std::fmt;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Number of parts in a whole.
pub const PARTS_PER_WHOLE: u32 = 1_000_000;

/// Number of parts in one per cent.
const PARTS_PER_PERCENT: u32 = PARTS_PER_WHOLE / 100;

/// A fraction in millionths; declarations write it in per cent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fraction(pub u32);

impl Fraction {
    /// One whole, 100 per cent.
    pub const ONE: Self = Self(PARTS_PER_WHOLE);

    /// Creates a fraction from an integer percentage.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Self {
        Self(percent * PARTS_PER_PERCENT)
    }

    /// Returns the fraction as a number between 0 and 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(PARTS_PER_WHOLE)
    }

    /// Returns `part / whole`, rounded down and at most one; zero if both are zero.
    #[must_use]
    pub fn of(part: u32, whole: u32) -> Self {
        let exact = u64::from(part) * u64::from(PARTS_PER_WHOLE) / u64::from(whole.max(1));
        Self(u32::try_from(exact).unwrap_or(PARTS_PER_WHOLE).min(PARTS_PER_WHOLE))
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / f64::from(PARTS_PER_PERCENT))
    }
}

impl Serialize for Fraction {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(f64::from(self.0) / f64::from(PARTS_PER_PERCENT))
    }
}

impl<'de> Deserialize<'de> for Fraction {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let percent = f64::deserialize(deserializer)?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(D::Error::custom(format!("{percent} is not a percentage from 0 to 100")));
        }
        let parts = (percent * f64::from(PARTS_PER_PERCENT)).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "checked to lie between 0 and 1,000,000"
        )]
        Ok(Self(parts as u32))
    }
}
