//! The fleet that this node belongs to, and its place in it.

use std::time::Instant;

use model::id;
use steer::dispatch::fleet::representatives;

use crate::gateway::state::State;

impl State {
    /// Returns the number of the fleet, once it is known.
    #[must_use]
    pub fn fleet(&self) -> Option<id::Fleet> {
        self.me.borrow().fleet
    }

    /// Takes over the number that the copy of the store holds.
    pub(super) fn adopt_fleet(&self, fleet: Option<id::Fleet>) {
        let before = std::mem::replace(&mut self.me.borrow_mut().fleet, fleet);
        if let Some(fleet) = fleet.filter(|_| fleet != before) {
            let fleet = fleet.to_string();
            log::info!(fleet = fleet.as_str(); "fleet-known");
        }
    }

    /// Returns this node's place among the representatives of its region, 0 for the first; none when it is none of them.
    #[must_use]
    pub fn representative_place(&self, now: Instant) -> Option<u32> {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let before = members.staying(now).filter(|member| member.node < me.node).count();
        let place = u32::try_from(before).ok()?;
        (before < representatives::PER_REGION).then_some(place)
    }
}
