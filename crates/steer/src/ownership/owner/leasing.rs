//! Leasing: the nodes ranked below the owner grant it their unused slots, so that it can use all of them.
//!
//! [`lease`] holds the time limits of both sides. Both must act on the same membership table, which
//! [`Core`](crate::ownership::core::Core) checks.

use std::collections;
use std::time::{Duration, Instant};

use model::member;

use super::{CANCEL_GRACE, Owner};
use crate::ownership::heartbeat;
use crate::ownership::lease;

/// Time in which requests may start on a lease, counted from when it was requested.
///
/// Longer than three periods of the heartbeats to a grantor, so that two lost ones do not end the lease.
/// Short, because a dead owner's slots stay unusable for this time plus the service's deadline.
pub const LEASE_TERM: Duration = Duration::from_secs(3);

impl Owner {
    /// Grants `owner` the unused slots that this node has of the upstreams that `owner` owns.
    pub fn grant(&mut self, owner: &member::Key, now: Instant) -> Vec<heartbeat::Lease> {
        let mut leases = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            let is_owned = upstream.ledger.allotment.owner() == Some(owner);
            let is_ranked = upstream.ledger.allotment.usable > 0;
            if !is_owned || !is_ranked {
                continue;
            }
            let Some(served) = self.services.get(&key.service) else { continue };
            let tail = served.spec.deadline + CANCEL_GRACE;
            let slots = upstream.ledger.grant(owner, now, now + LEASE_TERM + tail);
            if slots > 0 {
                leases.push(heartbeat::Lease { upstream: key.clone(), slots, tail });
            }
        }
        leases
    }

    /// Records the leases of a heartbeat reply, for upstreams that this node owns.
    pub fn hold_leases(&mut self, me: &member::Key, granted: &lease::Grant<'_>) {
        for lease in granted.leases {
            let terms = lease::Terms { term: granted.term, tail: lease.tail };
            match self.upstreams.get_mut(&lease.upstream) {
                Some(upstream) if upstream.ledger.allotment.owner() == Some(me) => {
                    let asked = granted.asked;
                    upstream.ledger.hold_lease(granted.grantor, lease.slots, asked, terms);
                }
                // Not owned by this node: the grantor's slots stay unused until its grant expires.
                _ => {}
            }
        }
    }

    /// Reduces the grants to `holder`, at upstreams that it no longer owns, to the slots it still uses.
    pub fn reclaim(&mut self, holder: &member::Key, held: &[heartbeat::Lease]) {
        for (key, upstream) in &mut self.upstreams {
            if upstream.ledger.allotment.owner() == Some(holder) {
                continue;
            }
            let slots = held.iter().find(|h| h.upstream == *key).map_or(0, |h| h.slots);
            upstream.ledger.reclaim(holder, slots);
        }
    }

    /// Returns the leases of `grantor` still in use at upstreams that this node no longer owns.
    #[must_use]
    pub fn leases_still_in_use(
        &self,
        me: &member::Key,
        grantor: &member::Key,
    ) -> Vec<heartbeat::Lease> {
        let mut in_use = Vec::new();
        for (key, upstream) in &self.upstreams {
            if upstream.ledger.allotment.owner() == Some(me) {
                continue;
            }
            let mut leases = upstream.ledger.running_on_leases();
            let of_grantor = leases.find(|(key, slots)| *key == grantor && *slots > 0);
            if let Some((_, slots)) = of_grantor {
                let upstream = key.clone();
                in_use.push(heartbeat::Lease { upstream, slots, tail: Duration::ZERO });
            }
        }
        in_use
    }

    /// Returns the nodes that can grant slots of the upstreams that this node owns.
    #[must_use]
    pub fn grantors(&self, me: &member::Key) -> collections::BTreeSet<&member::Key> {
        let owned = self.upstreams.values().filter(|u| u.ledger.allotment.owner() == Some(me));
        owned.flat_map(|u| u.ledger.allotment.ranked.iter().skip(1)).collect()
    }

    /// Returns whether this node uses and grants no more than its share of the newest epoch, at every
    /// upstream.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.upstreams.values().all(|u| u.ledger.is_settled(now))
    }
}
