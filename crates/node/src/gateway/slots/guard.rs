//! Guard of an ask: releases the slot, or withdraws the ask, when it is dropped.

use std::rc;

use model::id;
use steer::dispatch::peer_load;
use steer::dispatch::slots::message::Id;

use crate::gateway::slots::datagram;
use crate::gateway::slots::{Destination, datagram_of, owning, repeating, send};
use crate::gateway::state;

/// An ask that has not ended. Dropping it releases its slot, or withdraws it if it holds none.
#[derive(Debug)]
pub struct Guard {
    pub(super) state: rc::Rc<state::State>,
    pub(super) id: Id,
    pub(super) upstream: peer_load::Key,
    /// Where the release is sent: the owner if it has answered, otherwise where the ask was sent.
    pub(super) destination: Destination,
    /// Whether the owner may still keep the ask or its slot.
    pub(super) is_open: bool,
    /// The node that granted the slot; `None` if it is not held.
    pub(super) owner: Option<id::Node>,
}

impl Guard {
    /// Returns the node that granted the slot; `None` if it is not held.
    #[must_use]
    pub fn owner(&self) -> Option<&id::Node> {
        self.owner.as_ref()
    }

    /// Records that the owner has ended the ask, so that no release is due.
    pub(super) fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.slots.pending.borrow_mut().remove(&self.id);
        if self.owner.is_some() {
            self.state.slots.counts.record_held_end();
        }
        if self.is_open {
            release(&self.state, &self.destination, self.id, self.upstream);
        }
    }
}

/// Releases a slot of this node, or withdraws an ask.
pub(super) fn release(
    state: &rc::Rc<state::State>,
    destination: &Destination,
    id: Id,
    upstream: peer_load::Key,
) {
    match destination {
        Destination::Here => {
            let me = state.me.borrow().node.clone();
            owning::release(state, &me, id);
        }
        Destination::At(node, address) => {
            let mut datagram = datagram_of(state);
            datagram.releases.push(datagram::Release { id, upstream, asker: None });
            send(state, *address, &datagram);
            repeating::repeat(state, node, *address, id, upstream);
        }
    }
}
