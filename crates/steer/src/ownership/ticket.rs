//! Tickets: at-most-once execution of requests.
//!
//! A ticket names one incarnation of one node. Only that incarnation runs the request, at most once, and
//! keeps the outcome until the ticket expires by its own clock. No other node can run the request, so
//! neither consensus nor a write to the store is needed, and a partition cannot cause a second execution.
//! This requires a new incarnation at every start of a node.

use std::collections;
use std::fmt;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use model::verdict;

/// Lifetime of a ticket and of its outcome, counted from when it was issued.
pub const LIFE: Duration = Duration::from_secs(120);

/// Maximum number of used tickets that a node keeps; bounds memory.
pub const MOST: usize = 50_000;

/// The right to run one request once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The node that issued it.
    pub node: id::Node,
    /// The incarnation of that node.
    pub incarnation: u64,
    /// Time of issue, in milliseconds since the incarnation's start.
    pub issued_ms: u64,
    /// A random number that makes the ticket unique and hard to guess.
    pub nonce: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { node, incarnation, issued_ms, nonce } = self;
        write!(f, "{incarnation:x}-{issued_ms:x}-{nonce:x}-{node}")
    }
}

impl Ticket {
    /// Parses a ticket from its `Display` form, in which callers send it.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(4, '-');
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (incarnation, issued_ms, nonce) = (number()?, number()?, number()?);
        let node = parts.next().filter(|node| id::is_valid(node))?;
        Some(Self { node: id::Node::new(node), incarnation, issued_ms, nonce })
    }
}

/// The stored outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The whole answer.
    Answered(sync::Arc<A>),
    /// The request ran, but its answer was too large to be kept.
    Unkept,
    /// The failure of a request that may have run.
    Failed(verdict::Failure),
}

impl<A> Clone for Outcome<A> {
    fn clone(&self) -> Self {
        match self {
            Self::Answered(answer) => Self::Answered(sync::Arc::clone(answer)),
            Self::Unkept => Self::Unkept,
            Self::Failed(failure) => Self::Failed(*failure),
        }
    }
}

/// The result of claiming a ticket.
#[derive(Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// The caller of `claim` must run the request; the ticket is now used.
    Run,
    /// The request is running.
    Running,
    /// The request has ended with this outcome.
    Done(Outcome<A>),
    /// The ticket is expired, of another incarnation, or was never issued: the request may have run.
    Unknown,
    /// Too many tickets are kept; the request did not run.
    Full,
}

/// Issues the tickets of one incarnation.
#[derive(Clone, Debug)]
pub struct Issuer {
    node: id::Node,
    incarnation: u64,
    origin: Instant,
}

impl Issuer {
    /// Creates the issuer of an incarnation that started at `origin`.
    #[must_use]
    pub fn new(node: id::Node, incarnation: u64, origin: Instant) -> Self {
        Self { node, incarnation, origin }
    }

    /// Issues a ticket. No state is kept until it is claimed.
    #[must_use]
    pub fn issue(&self, now: Instant, nonce: u64) -> Ticket {
        let issued = now.saturating_duration_since(self.origin);
        Ticket {
            node: self.node.clone(),
            incarnation: self.incarnation,
            issued_ms: u64::try_from(issued.as_millis()).unwrap_or(u64::MAX),
            nonce,
        }
    }

    /// Returns when a ticket expires, or `None` if this incarnation did not issue it.
    fn expiry(&self, ticket: &Ticket, now: Instant) -> Option<Instant> {
        let is_own = ticket.node == self.node && ticket.incarnation == self.incarnation;
        let issued = self.origin.checked_add(Duration::from_millis(ticket.issued_ms))?;
        match is_own && issued <= now {
            true => issued.checked_add(LIFE),
            false => None,
        }
    }
}

/// The used tickets of one incarnation and their outcomes.
#[derive(Debug)]
pub struct Table<A> {
    issuer: Issuer,
    used: collections::HashMap<u64, State<A>>,
    ends: collections::VecDeque<(Instant, u64)>,
}

#[derive(Debug)]
enum State<A> {
    Running,
    Done(Outcome<A>),
}

impl<A> Table<A> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(issuer: Issuer) -> Self {
        Self { issuer, used: collections::HashMap::new(), ends: collections::VecDeque::new() }
    }

    /// Claims a ticket, and marks it as used if the result is [`Claim::Run`].
    pub fn claim(&mut self, ticket: &Ticket, now: Instant) -> Claim<A> {
        self.expire(now);
        let end = self.issuer.expiry(ticket, now).filter(|end| now < *end);
        match (end, self.used.get(&ticket.nonce)) {
            (None, _) => Claim::Unknown,
            (_, Some(State::Running)) => Claim::Running,
            (_, Some(State::Done(outcome))) => Claim::Done(outcome.clone()),
            (_, None) if self.used.len() >= MOST => Claim::Full,
            (Some(end), None) => {
                self.used.insert(ticket.nonce, State::Running);
                self.schedule_expiry(end, ticket.nonce);
                Claim::Run
            }
        }
    }

    /// Records the outcome of a ticket's request. If the request did not run, the ticket can be claimed
    /// again.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Outcome<A>) {
        let not_run = matches!(
            &outcome,
            Outcome::Failed(failure) if failure.verdict == verdict::Verdict::NotRun
        );
        match self.used.get_mut(&ticket.nonce) {
            Some(_) if not_run => {
                self.used.remove(&ticket.nonce);
            }
            Some(state) => *state = State::Done(outcome),
            // The request took longer than the ticket's lifetime. Later claims return `Unknown`, which
            // correctly means that the request may have run.
            None => {}
        }
    }

    /// Returns the number of tickets that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no ticket is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn schedule_expiry(&mut self, end: Instant, nonce: u64) {
        let at = self.ends.partition_point(|(other, _)| *other <= end);
        self.ends.insert(at, (end, nonce));
    }

    fn expire(&mut self, now: Instant) {
        while let Some((end, nonce)) = self.ends.front().copied() {
            if now < end {
                break;
            }
            self.ends.pop_front();
            self.used.remove(&nonce);
        }
    }
}
