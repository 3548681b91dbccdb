//! The response header field in which an upstream that refused a request asks the sender to back
//! off.

use std::time::Duration;

/// Longest rest that is honoured. An upstream that wants no requests for longer can leave service
/// discovery, and an erroneous value must not exclude it for hours.
pub const MAX_REST: Duration = Duration::from_mins(5);

/// Parsed value of the header field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field {
    /// The field is missing.
    #[default]
    Absent,
    /// The value is not a number of seconds and has no effect.
    Malformed,
    /// Time for which the sender must send no requests, at most [`MAX_REST`].
    Rest(Duration),
}

impl Field {
    /// Combines the values of repeated fields: the longest valid rest applies.
    ///
    /// A value is `None` if it is not valid text.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        values.map(Self::parse).fold(Self::Absent, |combined, field| match (combined, field) {
            (Self::Rest(a), Self::Rest(b)) => Self::Rest(a.max(b)),
            (rest @ Self::Rest(_), _) | (_, rest @ Self::Rest(_)) => rest,
            (_, other) => other,
        })
    }

    /// Parses a number of seconds, such as `3` or `0.5`. HTTP dates are not accepted, since the
    /// clocks of upstream and node may differ.
    fn parse(value: Option<&str>) -> Self {
        let seconds = value.and_then(|text| text.trim().parse::<f64>().ok());
        match seconds {
            Some(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                Self::Rest(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
            }
            _ => Self::Malformed,
        }
    }
}
