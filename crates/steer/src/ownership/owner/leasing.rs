//! Leasing: ranked nodes grant their unused slots to the owner, which then holds them all.
//!
//! Owns the term of a lease. Relies on [`lease`] for both clocks and on the ledger for what is free.
//! Both sides must act on one table; [`Core`](crate::ownership::core::Core) checks that.

use std::collections;
use std::time::{Duration, Instant};

use model::member;

use super::{CANCEL_GRACE, Owner};
use crate::ownership::heartbeat;
use crate::ownership::lease;

/// Time in which a lease may be used for starting work, from when it was asked for.
///
/// Not measured. Longer than three periods of heartbeats to a grantor, so that two lost ones do not
/// end it; short, since a dead owner's slots stay away for this time and a deadline more.
pub const LEASE_TERM: Duration = Duration::from_secs(3);

impl Owner {
    /// Grants `owner` this node's unused slots of the upstreams that it owns.
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

    /// Holds the leases of a reply, at upstreams that this node owns.
    pub fn hold_leases(&mut self, me: &member::Key, granted: &lease::Grant<'_>) {
        for lease in granted.leases {
            let terms = lease::Terms { term: granted.term, tail: lease.tail };
            match self.upstreams.get_mut(&lease.upstream) {
                Some(upstream) if upstream.ledger.allotment.owner() == Some(me) => {
                    let asked = granted.asked;
                    upstream.ledger.hold_lease(granted.grantor, lease.slots, asked, terms);
                }
                // Not this node's upstream: the grantor's slots stay unused until its grant ends.
                _ => {}
            }
        }
    }

    /// Ends grants to `holder` at upstreams that it no longer owns, but for slots that it still uses.
    pub fn reclaim(&mut self, holder: &member::Key, held: &[heartbeat::Lease]) {
        for (key, upstream) in &mut self.upstreams {
            if upstream.ledger.allotment.owner() == Some(holder) {
                continue;
            }
            let slots = held.iter().find(|h| h.upstream == *key).map_or(0, |h| h.slots);
            upstream.ledger.reclaim(holder, slots);
        }
    }

    /// Returns the slots of `grantor` still in use at upstreams that this node no longer owns.
    #[must_use]
    pub fn still_held(&self, me: &member::Key, grantor: &member::Key) -> Vec<heartbeat::Lease> {
        let mut held = Vec::new();
        for (key, upstream) in &self.upstreams {
            if upstream.ledger.allotment.owner() == Some(me) {
                continue;
            }
            let mut leases = upstream.ledger.running_on_leases();
            let of_grantor = leases.find(|(key, slots)| *key == grantor && *slots > 0);
            if let Some((_, slots)) = of_grantor {
                let upstream = key.clone();
                held.push(heartbeat::Lease { upstream, slots, tail: Duration::ZERO });
            }
        }
        held
    }

    /// Returns the nodes that can grant slots of this node's upstreams.
    #[must_use]
    pub fn grantors(&self, me: &member::Key) -> collections::BTreeSet<&member::Key> {
        let owned = self.upstreams.values().filter(|u| u.ledger.allotment.owner() == Some(me));
        owned.flat_map(|u| u.ledger.allotment.ranked.iter().skip(1)).collect()
    }

    /// Returns whether every ledger fits its share of the newest epoch.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.upstreams.values().all(|u| u.ledger.is_settled(now))
    }
}
