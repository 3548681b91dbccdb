//! Exit codes of `yokespoke`, which scripts rely on.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// It did what was asked.
    Done,
    /// It failed.
    Failed,
    /// Its arguments or files are wrong.
    Wrong,
    /// The fleet refused the change.
    Refused,
    /// Nobody can say yet whether the change took effect, or it is not in force everywhere yet.
    Unknown,
    /// A promise was broken.
    Broken,
}

impl Code {
    /// Returns the exit code.
    #[must_use]
    pub fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Wrong => 2,
            Self::Refused => 3,
            Self::Unknown => 4,
            Self::Broken => 5,
        }
    }

    /// Returns the code of an error.
    #[must_use]
    pub fn of(error: &anyhow::Error) -> Self {
        match error.downcast_ref::<model::document::Error>() {
            Some(_) => Self::Wrong,
            None => Self::Failed,
        }
    }
}
