//! The response header field in which an upstream announces that its process is about to end.

/// Value for an upstream that is leaving.
const LEAVING: &str = "1";

/// Value for an upstream that is not leaving.
const NOT_LEAVING: &str = "0";

/// Parsed value of the header field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field {
    /// The field is missing, or says that the upstream is not leaving.
    #[default]
    Absent,
    /// The value is invalid and has no effect.
    Malformed,
    /// The upstream is leaving.
    Leaving,
}

impl Field {
    /// Combines the values of repeated fields: a single `1` is enough for [`Field::Leaving`].
    ///
    /// A value is `None` if it is not valid text.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        values.map(Self::parse).fold(Self::Absent, |combined, field| match (combined, field) {
            (Self::Leaving, _) | (_, Self::Leaving) => Self::Leaving,
            (Self::Malformed, _) | (_, Self::Malformed) => Self::Malformed,
            (Self::Absent, Self::Absent) => Self::Absent,
        })
    }

    fn parse(value: Option<&str>) -> Self {
        match value.map(str::trim) {
            Some(LEAVING) => Self::Leaving,
            Some(NOT_LEAVING) => Self::Absent,
            _ => Self::Malformed,
        }
    }
}
