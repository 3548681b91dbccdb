//! Leaving: whether an upstream says in an answer that its process is about to end.

/// Value by which an upstream says that it leaves.
const YES: &str = "1";

/// Value by which it says that it does not.
const NO: &str = "0";

/// The field of an answer in which its upstream says that it leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field {
    /// It does not say so.
    #[default]
    Absent,
    /// It says something that cannot be read, which changes nothing.
    Malformed,
    /// It leaves.
    Leaving,
}

impl Field {
    /// Reads the values of the fields that say whether an upstream leaves: one that says so is enough.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        values.map(Self::of).fold(Self::Absent, |all, one| match (all, one) {
            (Self::Leaving, _) | (_, Self::Leaving) => Self::Leaving,
            (Self::Malformed, _) | (_, Self::Malformed) => Self::Malformed,
            (Self::Absent, Self::Absent) => Self::Absent,
        })
    }

    fn of(value: Option<&str>) -> Self {
        match value.map(str::trim) {
            Some(YES) => Self::Leaving,
            Some(NO) => Self::Absent,
            _ => Self::Malformed,
        }
    }
}
