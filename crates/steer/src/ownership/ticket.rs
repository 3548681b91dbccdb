//! Tickets: what makes a request run at most once.
//!
//! A ticket names one incarnation of one node. Only that incarnation runs the request, once, and
//! it remembers the outcome until the ticket ends by its own clock. Nobody else can run it, so no
//! agreement and no write to the store is needed, and a partition cannot make it run twice. Owns the tickets in use. Relies on the incarnation being new with
//! every start.

use std::collections;
use std::fmt;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use model::verdict;

/// Time for which a ticket may be used, and its outcome asked for, from when it was issued. Not measured.
pub const LIFE: Duration = Duration::from_secs(120);

/// Most tickets in use that one node remembers. Not measured; it bounds memory.
pub const MOST: usize = 50_000;

/// The right to run one request once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The node that issued it.
    pub node: id::Node,
    /// Its incarnation.
    pub incarnation: u64,
    /// Milliseconds from the incarnation's start to the issue.
    pub issued_ms: u64,
    /// A random number that makes it unique and hard to guess.
    pub nonce: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { node, incarnation, issued_ms, nonce } = self;
        write!(f, "{incarnation:x}-{issued_ms:x}-{nonce:x}-{node}")
    }
}

impl Ticket {
    /// Reads a ticket as a caller sends it.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(4, '-');
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (incarnation, issued_ms, nonce) = (number()?, number()?, number()?);
        let node = parts.next().filter(|node| id::is_valid(node))?;
        Some(Self { node: id::Node::new(node), incarnation, issued_ms, nonce })
    }
}

/// The remembered end of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome<A> {
    /// Its whole answer.
    Answered(sync::Arc<A>),
    /// An answer too large to be remembered; it ran.
    Unkept,
    /// Its failure, which may have run.
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

/// What a node answers to a ticket.
#[derive(Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// Run it: the ticket is now in use.
    Run,
    /// It is running now.
    Running,
    /// It has run.
    Done(Outcome<A>),
    /// The ticket is of another incarnation, ended, or was never issued: it may have run.
    Unknown,
    /// Too many tickets are in use; it did not run.
    Full,
}

/// What issues the tickets of one incarnation.
#[derive(Clone, Debug)]
pub struct Issuer {
    node: id::Node,
    incarnation: u64,
    origin: Instant,
}

impl Issuer {
    /// Makes the issuer of an incarnation that starts at `origin`.
    #[must_use]
    pub fn new(node: id::Node, incarnation: u64, origin: Instant) -> Self {
        Self { node, incarnation, origin }
    }

    /// Issues a ticket; nothing is remembered until it is used.
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

    /// Returns when a ticket ends; none when this incarnation did not issue it.
    fn end(&self, ticket: &Ticket, now: Instant) -> Option<Instant> {
        let is_own = ticket.node == self.node && ticket.incarnation == self.incarnation;
        let issued = self.origin.checked_add(Duration::from_millis(ticket.issued_ms))?;
        match is_own && issued <= now {
            true => issued.checked_add(LIFE),
            false => None,
        }
    }
}

/// The tickets of one incarnation.
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
    /// Makes an empty table.
    #[must_use]
    pub fn new(issuer: Issuer) -> Self {
        Self { issuer, used: collections::HashMap::new(), ends: collections::VecDeque::new() }
    }

    /// Claims a ticket for a request.
    pub fn claim(&mut self, ticket: &Ticket, now: Instant) -> Claim<A> {
        self.expire(now);
        let end = self.issuer.end(ticket, now).filter(|end| now < *end);
        match (end, self.used.get(&ticket.nonce)) {
            (None, _) => Claim::Unknown,
            (_, Some(State::Running)) => Claim::Running,
            (_, Some(State::Done(outcome))) => Claim::Done(outcome.clone()),
            (_, None) if self.used.len() >= MOST => Claim::Full,
            (Some(end), None) => {
                self.used.insert(ticket.nonce, State::Running);
                self.remember(end, ticket.nonce);
                Claim::Run
            }
        }
    }

    /// Records how the request of a ticket ended. One proved not to have run may be claimed again.
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
            // A ticket outlives its request unless the request took longer than the ticket's life; then
            // it is unknown, and the answer "may have run" is right.
            None => {}
        }
    }

    /// Returns how many tickets are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn remember(&mut self, end: Instant, nonce: u64) {
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
