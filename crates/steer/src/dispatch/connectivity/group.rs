//! Connectivity of one group of upstreams, those of one service in one region: when it is checked,
//! and what follows from the checks.
//!
//! Only a response shows that a group is reached. A device between this node and the upstreams may accept
//! connections in their place, and then reset them or stay silent. Full upstreams do the same, so that
//! without a response a group is lost only where other nodes get one ([`check`]).
//!
//! [`check`]: crate::dispatch::connectivity::check

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::connectivity::check::Verdict;

/// Number of upstreams that fail, with no response on a new connection in between, from which a check is due.
///
/// One failure is usually that of its upstream.
pub const SUSPECT_UPSTREAMS: usize = 2;

/// Minimum time between the starts of two checks, which limits what checks cost the upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a failure no longer counts; failures so far apart have different causes.
///
/// A successful check is remembered as long, so that one long silence does not cause one check after the other.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Consecutive successful checks after which the group is reported as reached to other nodes.
///
/// Callers return then, so a link that works now and then must not attract them.
const PASSED_CHECKS: u32 = 2;

/// Time since the latest response in which open connections are still used.
const OPEN_CONNECTIONS_USE: Duration = Duration::from_secs(1);

/// Minimum time between new connections to a group whose upstreams are out of them.
///
/// Such upstreams accept again as soon as others leave, so that checks alone would find it late; without a
/// limit, each request opens several.
const CONNECTION_INTERVAL: Duration = Duration::from_millis(50);

/// How requests may be sent to a group of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Over any connection.
    Full,
    /// Over connections that are open: these still bring responses, but new ones do not come up.
    OpenConnections,
    /// Not at all.
    None,
}

/// A change of whether a group is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// None of the checked upstreams responded.
    Lost,
    /// Upstreams respond to checks again.
    Regained,
    /// Upstreams respond neither to checks nor to those of other nodes.
    Busy,
    /// Upstreams close the connections of all nodes, and none of them is served.
    Closed,
    /// Upstreams close new connections while they work on the requests that they have.
    Crowded,
    /// Upstreams do not respond to checks, and no other node tells why.
    Unclear,
}

/// State of a group that is not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unreached {
    /// Start of the check that failed first.
    since: Instant,
    /// Consecutive successful checks.
    passed: u32,
    /// When the latest response arrived since then.
    responded: Option<Instant>,
}

/// State of a group whose silence has not been found to be that of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The group is used as before.
    Busy,
    /// The group resets all connections of all nodes; it gets checks only.
    Closed,
    /// The group resets new connections; few are opened.
    Crowded,
    /// New requests are not sent to the group.
    Unclear,
}

/// Connectivity of one group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Upstreams that failed since a response on a new connection, at most [`SUSPECT_UPSTREAMS`].
    failed: collections::BTreeSet<id::Upstream>,
    /// When the latest of them failed.
    failed_at: Option<Instant>,
    is_suspect: bool,
    /// When the latest check began.
    checked: Option<Instant>,
    is_checking: bool,
    /// When the latest successful check began.
    passed: Option<Instant>,
    /// When the latest of the new connections that brought a response was opened.
    responding_connection: Option<Instant>,
    /// When the latest response arrived.
    responded: Option<Instant>,
    /// What the latest check left open; `None` if a response came since it began.
    silence: Option<Silence>,
    /// When the latest connection was opened while the group was crowded.
    opened: Option<Instant>,
    unreached: Option<Unreached>,
}

impl Group {
    /// Records a connection to an upstream that failed or brought no response; `usable` upstreams are known.
    pub fn record_failure(&mut self, upstream: &id::Upstream, usable: usize, now: Instant) {
        if self.has_old_failures(now) {
            self.failed.clear();
        }
        self.failed_at = Some(now);
        if self.failed.len() < SUSPECT_UPSTREAMS {
            self.failed.insert(upstream.clone());
        }
        self.is_suspect |= self.failed.len() >= usable.clamp(1, SUSPECT_UPSTREAMS);
    }

    /// Records a response on a new connection, which was opened at `opened`.
    ///
    /// Responses on older connections are not recorded here, because such connections may live on
    /// while new ones fail.
    pub fn record_new_connection_response(&mut self, opened: Instant) {
        self.failed.clear();
        self.responding_connection = self.responding_connection.max(Some(opened));
        if self.silence == Some(Silence::Crowded) {
            self.silence = None;
        }
    }

    /// Records a response.
    pub fn record_response(&mut self, now: Instant) {
        self.responded = Some(now);
        // Open connections of a crowded group bring responses while new ones are closed.
        if self.silence != Some(Silence::Crowded) {
            self.silence = None;
        }
        if let Some(unreached) = &mut self.unreached {
            unreached.responded = Some(now);
        }
    }

    /// Requests a check.
    pub fn suspect(&mut self) {
        self.is_suspect = true;
    }

    /// Returns whether a check is due.
    #[must_use]
    pub fn is_check_due(&self, now: Instant) -> bool {
        let is_open = self.silence.is_some() || self.unreached.is_some();
        (self.is_suspect || is_open) && !self.is_checking && !self.was_checked_lately(now)
    }

    /// Records that a check begins.
    pub fn begin_check(&mut self, now: Instant) {
        self.checked = Some(now);
        self.is_checking = true;
        self.is_suspect = false;
    }

    /// Records that upstreams close the connections of a check and serve no other node, before their work is judged.
    /// Few connections are opened meanwhile.
    pub fn record_closed(&mut self) -> Option<Change> {
        match self.silence {
            Some(Silence::Closed) => None,
            _ => self.end_open_check(Silence::Crowded),
        }
    }

    /// Records what a check showed.
    ///
    /// A response to a request on a connection that was opened during the check counts as well:
    /// upstreams that are full may respond to the check too late.
    pub fn end_check(&mut self, verdict: Verdict) -> Option<Change> {
        self.is_checking = false;
        let since = self.checked?;
        let has_responded = self.responding_connection.is_some_and(|at| at > since);
        match verdict {
            Verdict::Reached => self.end_successful_check(since),
            _ if has_responded => self.end_successful_check(since),
            Verdict::Lost => self.end_failed_check(since),
            Verdict::Crowded => self.end_open_check(Silence::Crowded),
            Verdict::Closed if self.responded.is_some_and(|at| at > since) => {
                self.end_open_check(Silence::Crowded)
            }
            Verdict::Busy | Verdict::Unclear if self.responded.is_some_and(|at| at > since) => None,
            Verdict::Busy => self.end_open_check(Silence::Busy),
            Verdict::Closed => self.end_open_check(Silence::Closed),
            Verdict::Unclear => self.end_open_check(Silence::Unclear),
        }
    }

    fn end_successful_check(&mut self, since: Instant) -> Option<Change> {
        self.passed = Some(since);
        self.silence = None;
        let Some(unreached) = &mut self.unreached else {
            self.failed.clear();
            return None;
        };
        unreached.passed += 1;
        if unreached.passed < PASSED_CHECKS {
            return None;
        }
        *self = Self { checked: self.checked, passed: self.passed, ..Self::default() };
        Some(Change::Regained)
    }

    fn end_failed_check(&mut self, since: Instant) -> Option<Change> {
        self.silence = None;
        match &mut self.unreached {
            Some(unreached) => {
                unreached.passed = 0;
                None
            }
            None => {
                self.unreached = Some(Unreached { since, passed: 0, responded: None });
                Some(Change::Lost)
            }
        }
    }

    /// Ends a check that does not show whether the group is full or this node is cut off. A group that is
    /// lost stays so.
    fn end_open_check(&mut self, silence: Silence) -> Option<Change> {
        if let Some(unreached) = &mut self.unreached {
            unreached.passed = 0;
            return None;
        }
        self.failed.clear();
        let previous = self.silence.replace(silence);
        let change = match silence {
            Silence::Busy => Change::Busy,
            Silence::Closed => Change::Closed,
            Silence::Crowded => Change::Crowded,
            Silence::Unclear => Change::Unclear,
        };
        (previous != Some(silence)).then_some(change)
    }

    /// Returns whether a check that began after `since` succeeded.
    #[must_use]
    pub fn has_passed_since(&self, since: Instant) -> bool {
        self.passed.is_some_and(|began| began > since)
    }

    /// Returns whether nothing needs to be known of the group any more.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        let has_failures = !self.failed.is_empty() && !self.has_old_failures(now);
        let is_open = self.silence.is_some() || self.unreached.is_some();
        let is_wanted = self.is_suspect || self.is_checking || is_open;
        let is_recent = |began| now.saturating_duration_since(began) < FAILURE_RETENTION;
        !is_wanted && !has_failures && !self.passed.is_some_and(is_recent)
    }

    fn has_old_failures(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= FAILURE_RETENTION;
        self.failed_at.is_some_and(is_old)
    }

    fn was_checked_lately(&self, now: Instant) -> bool {
        let is_early = |began| now.saturating_duration_since(began) < CHECK_INTERVAL;
        self.checked.is_some_and(is_early)
    }

    /// Returns how requests may be sent.
    #[must_use]
    pub fn access(&self, now: Instant) -> Access {
        let is_recent = |at| now.saturating_duration_since(at) <= OPEN_CONNECTIONS_USE;
        match self.unreached {
            None if self.silence == Some(Silence::Unclear) => Access::None,
            None if self.silence == Some(Silence::Closed) => match self.responded {
                Some(at) if is_recent(at) => Access::OpenConnections,
                Some(_) | None => Access::None,
            },
            None => Access::Full,
            Some(Unreached { passed: 1.., .. }) => Access::Full,
            Some(Unreached { responded: Some(at), .. }) if is_recent(at) => Access::OpenConnections,
            Some(_) => Access::None,
        }
    }

    /// Returns whether upstreams may serve this node; not if its latest check found that none does.
    #[must_use]
    pub fn may_be_served(&self) -> bool {
        let is_lost = self.unreached.is_some_and(|unreached| unreached.passed == 0);
        !is_lost && !matches!(self.silence, Some(Silence::Closed | Silence::Crowded))
    }

    /// Returns whether a new connection may be opened, and records that it is.
    pub fn take_connection(&mut self, now: Instant) -> bool {
        if self.silence != Some(Silence::Crowded) {
            return true;
        }
        let is_recent = |at| now.saturating_duration_since(at) < CONNECTION_INTERVAL;
        let may_open = !self.opened.is_some_and(is_recent);
        if may_open {
            self.opened = Some(now);
        }
        may_open
    }

    /// Returns the start of the latest check.
    #[must_use]
    pub fn checked(&self) -> Option<Instant> {
        self.checked
    }

    /// Returns whether the group is reached, as reported to other nodes.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.unreached.is_none()
    }

    /// Returns the time since the group was lost, or `None` if it is reached.
    #[must_use]
    pub fn unreached_for(&self, now: Instant) -> Option<Duration> {
        self.unreached.map(|unreached| now.saturating_duration_since(unreached.since))
    }
}
