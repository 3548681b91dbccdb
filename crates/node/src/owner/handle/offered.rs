//! A request that was offered to this node for a slot; its drop is its release.

use std::sync::atomic;

use steer::ownership::event;
use steer::ownership::request;

use super::Handle;
use crate::owner::event_loop::message;

/// What an offered request holds here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Held {
    Nothing,
    Waiting,
    Slot,
}

/// A request that was offered to this node; dropping it gives back what it holds.
#[derive(Debug)]
pub struct Offered {
    pub(super) id: request::Id,
    pub(super) handle: Handle,
    pub(super) state: Held,
}

impl Offered {
    /// Gives the slot back, saying how the request ended.
    pub fn done(mut self, outcome: request::Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: request::Outcome) {
        let event = match std::mem::replace(&mut self.state, Held::Nothing) {
            Held::Nothing => return,
            Held::Waiting => event::Event::Withdraw { request: self.id },
            Held::Slot => event::Event::Done { request: self.id, outcome },
        };
        self.handle.release(message::Message::Event(event));
    }
}

impl Drop for Offered {
    fn drop(&mut self) {
        self.end(request::Outcome::Abandoned);
        self.handle.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
