//! Rest: the time for which an upstream that turned a request away wants none from the same sender.

use std::time::Duration;

/// Longest rest that counts. An upstream that wants no requests for longer can leave service discovery, and a mistaken value must not
/// shut it out for hours.
pub const LONGEST: Duration = Duration::from_mins(5);

/// The field of a refusal in which its upstream asks for rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field {
    /// It asks for none.
    #[default]
    Absent,
    /// It asks for something that cannot be read as seconds, which changes nothing.
    Malformed,
    /// It asks for this time, at most [`LONGEST`].
    Rest(Duration),
}

impl Field {
    /// Reads the values of the fields that ask for rest: the longest of those that can be read counts.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        values.map(Self::of).fold(Self::Absent, |all, one| match (all, one) {
            (Self::Rest(a), Self::Rest(b)) => Self::Rest(a.max(b)),
            (rest @ Self::Rest(_), _) | (_, rest @ Self::Rest(_)) => rest,
            (_, other) => other,
        })
    }

    /// Reads seconds, such as `3` or `0.5`. A date is none, since the sender's clock need not be this one's.
    fn of(value: Option<&str>) -> Self {
        let seconds = value.and_then(|text| text.trim().parse::<f64>().ok());
        match seconds {
            Some(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                Self::Rest(Duration::from_secs_f64(seconds.min(LONGEST.as_secs_f64())))
            }
            _ => Self::Malformed,
        }
    }
}
