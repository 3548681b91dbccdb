//! Phase of a request: what it waits for.

/// What a request in flight waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The rest of the request.
    ReadingBody,
    /// An owner, or a slot there.
    WaitingForSlot,
    /// The head of an upstream's answer.
    Sent,
    /// The head of the answer of another node.
    Forwarded,
    /// The rest of the response, and the caller who reads it.
    PassingOn,
    /// The kernel, which does not have all of the response yet.
    Written,
    /// Nothing: the whole response has left this node.
    Delivered,
}

impl Phase {
    /// Returns its name in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ReadingBody => "reading-body",
            Self::WaitingForSlot => "waiting-for-slot",
            Self::Sent => "sent",
            Self::Forwarded => "forwarded",
            Self::PassingOn => "passing-on",
            Self::Written => "written",
            Self::Delivered => "delivered",
        }
    }
}
