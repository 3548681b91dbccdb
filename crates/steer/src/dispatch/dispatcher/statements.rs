//! Statements: what upstreams report about themselves in their responses.
//!
//! Determines how long each statement is valid. A statement concerns one process and ends with it, so
//! it does not apply to a later process of the same name. For limits, the latest response received by
//! any node is valid ([`upstream_limit`]). A [`leaving`] statement is valid on all nodes until the
//! process ends, and a [`rest`](crate::dispatch::rest) for the stated time on the node that received
//! it. Load reports are applied at the end of the attempt instead.
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

/// Changes caused by a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Change {
    /// Change of the limit, if any.
    pub limit: Option<observation::Change>,
    /// Whether the upstream is leaving and was not known to be.
    pub leaves: bool,
    /// New duration of rest; `None` if it did not ask for rest or is already resting for longer.
    pub rest: Option<Duration>,
}

impl Dispatcher {
    /// Records the statement in an upstream's response and returns the resulting changes.
    pub fn observe(
        &mut self,
        upstream: &discovery::Entry,
        statement: &statement::Statement,
        now: Instant,
    ) -> Change {
        let limit = self.observe_limit(upstream, statement.limit, now);
        let leaves = match statement.leaving {
            leaving_field::Field::Leaving => {
                self.record_leaving(&incarnation::Incarnation::of(upstream), now, None, now)
            }
            leaving_field::Field::Absent | leaving_field::Field::Malformed => false,
        };
        let rest = match statement.rest {
            rest_field::Field::Rest(rest) if !rest.is_zero() => {
                self.record_rest(upstream, rest, now)
            }
            _ => None,
        };
        Change { limit, leaves, rest }
    }

    /// Records the limit in an upstream's response and returns the change, if any.
    pub fn observe_limit(
        &mut self,
        upstream: &discovery::Entry,
        field: limit::Field,
        now: Instant,
    ) -> Option<observation::Change> {
        let known = self.upstreams.get(&upstream.id).filter(|u| u.entry.born == upstream.born)?;
        self.limits.observe(known.key, field, now)
    }

    /// Records limits reported by another node, or aggregated from several, and returns the known
    /// upstreams whose limits changed.
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

    /// Records leaving processes announced by another node, or aggregated from several, and returns
    /// the announcements of processes that were not known to be leaving.
    pub fn receive_leavings<'a>(
        &mut self,
        node: &id::Node,
        announcements: &'a [leaving::Announcement],
        now: Instant,
    ) -> Vec<&'a leaving::Announcement> {
        let is_new = |announcement: &&leaving::Announcement| {
            let at = now.checked_sub(announcement.age).unwrap_or(now);
            self.record_leaving(&announcement.incarnation, at, Some(node), now)
        };
        announcements.iter().filter(is_new).collect()
    }

    /// Sets the number of other nodes that are known or listed, and whether the store is reachable
    /// from this node or a node it can reach.
    pub fn set_contact(&mut self, others: usize, is_store_known: bool) {
        self.limits.set_contact(others, is_store_known);
    }

    /// Returns the limits of upstreams for reporting them to other nodes.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Returns the limits of upstreams.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a digest of the known upstreams that are leaving.
    #[must_use]
    pub fn leaving_digest(&self) -> repair::Digest {
        self.leaving_digest
    }

    /// Returns announcements of all known upstreams that are leaving, for a node that may have missed
    /// some.
    #[must_use]
    pub fn all_leavings(&self, now: Instant) -> Vec<leaving::Announcement> {
        let announcement = |incarnation| self.leavings.announcement(incarnation, now);
        self.leaving_incarnations().filter_map(announcement).collect()
    }

    fn leaving_incarnations(&self) -> impl Iterator<Item = incarnation::Incarnation> {
        let leaving = self.upstreams.iter().filter(|upstream| upstream.announced_leaving);
        leaving.map(|upstream| incarnation::Incarnation::of(&upstream.entry))
    }

    /// Returns the leaving processes for announcing them to other nodes.
    pub fn leavings_mut(&mut self) -> &mut leaving::LeavingProcesses {
        &mut self.leavings
    }

    /// Returns the leaving processes.
    #[must_use]
    pub fn leavings(&self) -> &leaving::LeavingProcesses {
        &self.leavings
    }

    fn record_leaving(
        &mut self,
        incarnation: &incarnation::Incarnation,
        at: Instant,
        by: Option<&id::Node>,
        now: Instant,
    ) -> bool {
        let is_new = self.leavings.record(incarnation, at, by, now);
        if let Some(known) = self.upstreams.get_mut(&incarnation.upstream)
            && known.entry.born == incarnation.born
            && !std::mem::replace(&mut known.announced_leaving, true)
        {
            self.leaving_digest.toggle(incarnation.hash());
        }
        is_new
    }

    fn record_rest(
        &mut self,
        upstream: &discovery::Entry,
        rest: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let incarnation = incarnation::Incarnation::of(upstream);
        let previous = self.rests.until(&incarnation);
        let until = self.rests.record(&incarnation, rest, now);
        if let Some(known) = self.upstreams.get_mut(&upstream.id)
            && known.entry.born == upstream.born
        {
            known.rests_until = Some(until);
        }
        previous.is_none_or(|previous| previous < until).then_some(rest)
    }
}
