//! Statements: what the dispatcher learns from what upstreams say of themselves.
//!
//! The one place that decides which of them hold. Each is about one process: what an earlier one under the same name said ends
//! with it. Of limits the latest answer holds, whichever node got it ([`upstream_limit`]); a [`leaving`] holds
//! until the process ends, at every node; a [`rest`](crate::dispatch::rest) for the time that it names, at the node that was asked. The load goes
//! with the end of its try.
//!
//! [`upstream_limit`]: crate::dispatch::upstream_limit

use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;
use model::leaving as leaving_field;
use model::limit;
use model::rest as rest_field;
use model::statement;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::fleet::repair;
use crate::dispatch::incarnation;
use crate::dispatch::leaving;
use crate::dispatch::upstream_limit::{self, Limits, observation};

/// What a statement changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Change {
    /// How the limit changed, if it did.
    pub limit: Option<observation::Change>,
    /// Whether the upstream was not known to leave before.
    pub leaves: bool,
    /// The time for which it rests now; none where it did not ask for rest, or rests for longer already.
    pub rest: Option<Duration>,
}

impl Dispatcher {
    /// Records what an answer of an upstream says of the upstream; returns what that changed.
    pub fn observe(
        &mut self,
        upstream: &discovery::Entry,
        statement: &statement::Statement,
        now: Instant,
    ) -> Change {
        let limit = self.observe_limit(upstream, statement.limit, now);
        let leaves = match statement.leaving {
            leaving_field::Field::Leaving => {
                self.leave(&incarnation::Incarnation::of(upstream), now, None, now)
            }
            leaving_field::Field::Absent | leaving_field::Field::Malformed => false,
        };
        let rest = match statement.rest {
            rest_field::Field::Rest(rest) if !rest.is_zero() => self.rest(upstream, rest, now),
            _ => None,
        };
        Change { limit, leaves, rest }
    }

    /// Records what an answer of an upstream names as its limit; returns how the limit changed, if it did.
    pub fn observe_limit(
        &mut self,
        upstream: &discovery::Entry,
        field: limit::Field,
        now: Instant,
    ) -> Option<observation::Change> {
        let known = self.upstreams.get(&upstream.id).filter(|u| u.entry.born == upstream.born)?;
        self.limits.observe(known.key, field, now)
    }

    /// Records what another node, or a sum of several, reported of limits; returns the known upstreams whose limits changed.
    pub fn receive_limits(
        &mut self,
        node: &id::Node,
        report: &upstream_limit::Report,
        now: Instant,
    ) -> Vec<(sync::Arc<discovery::Entry>, observation::Change)> {
        let changed = self.limits.receive(node, report, now);
        let known =
            changed.into_iter().filter_map(|upstream_limit::ChangedLimit { upstream, change }| {
                Some((sync::Arc::clone(&self.upstreams.get_by_key(upstream)?.entry), change))
            });
        known.collect()
    }

    /// Records what another node, or a sum of several, announced of processes that leave; returns those that were not known to.
    pub fn receive_leavings<'a>(
        &mut self,
        node: &id::Node,
        announcements: &'a [leaving::Announcement],
        now: Instant,
    ) -> Vec<&'a leaving::Announcement> {
        let is_new = |announcement: &&leaving::Announcement| {
            let at = now.checked_sub(announcement.age).unwrap_or(now);
            self.leave(&announcement.incarnation, at, Some(node), now)
        };
        announcements.iter().filter(is_new).collect()
    }

    /// Sets how many other nodes are known or listed, and whether this node, or one that it reaches, reaches the store.
    pub fn set_contact(&mut self, others: usize, is_store_known: bool) {
        self.limits.set_contact(others, is_store_known);
    }

    /// Returns the limits that upstreams name, to report them.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Returns what is known of the limits that upstreams name.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a digest of the known upstreams that leave.
    #[must_use]
    pub fn leaving_digest(&self) -> repair::Digest {
        repair::Digest::of(self.leaving().map(|incarnation| incarnation.hash()))
    }

    /// Returns the known upstreams that leave, for a node that may not know it.
    #[must_use]
    pub fn all_leavings(&self, now: Instant) -> Vec<leaving::Announcement> {
        let announcement = |incarnation| self.leavings.announcement(incarnation, now);
        self.leaving().filter_map(announcement).collect()
    }

    fn leaving(&self) -> impl Iterator<Item = incarnation::Incarnation> {
        let leaving = self.upstreams.iter().filter(|upstream| upstream.says_leaving);
        leaving.map(|upstream| incarnation::Incarnation::of(&upstream.entry))
    }

    /// Returns the processes that were observed to leave, to announce them.
    pub fn leavings_mut(&mut self) -> &mut leaving::Leavings {
        &mut self.leavings
    }

    /// Returns the processes that were observed to leave.
    #[must_use]
    pub fn leavings(&self) -> &leaving::Leavings {
        &self.leavings
    }

    fn leave(
        &mut self,
        incarnation: &incarnation::Incarnation,
        at: Instant,
        by: Option<&id::Node>,
        now: Instant,
    ) -> bool {
        let is_new = self.leavings.record(incarnation, at, by, now);
        if let Some(known) = self.upstreams.get_mut(&incarnation.upstream)
            && known.entry.born == incarnation.born
        {
            known.says_leaving = true;
        }
        is_new
    }

    fn rest(
        &mut self,
        upstream: &discovery::Entry,
        rest: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let incarnation = incarnation::Incarnation::of(upstream);
        let before = self.rests.until(&incarnation);
        let until = self.rests.record(&incarnation, rest, now);
        if let Some(known) = self.upstreams.get_mut(&upstream.id)
            && known.entry.born == upstream.born
        {
            known.rests_until = Some(until);
        }
        before.is_none_or(|before| before < until).then_some(rest)
    }
}
