//! Phases of a request in flight: what it waits for, and how many requests wait for the same.

use std::collections;

/// What a request waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The request's head or body is being read.
    #[default]
    ReadingBody,
    /// The request waits for a confirmed configuration and its organisation's quota.
    WaitingForAdmission,
    /// The request waits for a slot of the selected upstream.
    WaitingForSlot,
    /// The request waits for the selection of an upstream or for a connection to it.
    WaitingForUpstream,
    /// The request was sent to an upstream, whose response has not begun or is not yet whole.
    Sent,
    /// The response is being passed on to the caller.
    PassingOn,
    /// The whole response was handed to the HTTP library; the kernel has not taken all of it.
    Written,
}

impl Phase {
    /// Returns the value of the log key `phase`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ReadingBody => "reading-body",
            Self::WaitingForAdmission => "waiting-for-admission",
            Self::WaitingForSlot => "waiting-for-slot",
            Self::WaitingForUpstream => "waiting-for-upstream",
            Self::Sent => "sent",
            Self::PassingOn => "passing-on",
            Self::Written => "written",
        }
    }
}

/// Numbers of requests by phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Phases(collections::BTreeMap<Phase, usize>);

impl Phases {
    /// Counts one request.
    pub fn add(&mut self, phase: Phase) {
        *self.0.entry(phase).or_default() += 1;
    }

    /// Returns the number of requests in `phase`.
    #[must_use]
    pub fn of(&self, phase: Phase) -> usize {
        self.0.get(&phase).copied().unwrap_or_default()
    }

    /// Returns the number of requests in all phases.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.values().sum()
    }
}
