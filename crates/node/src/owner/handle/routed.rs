//! A request that was routed from here; its drop is its release.

use model::service;
use model::verdict;
use steer::ownership::event;
use steer::ownership::request;

use super::Handle;
use crate::owner::event_loop::message;

/// A request that the entry has routed; dropping it ends it for the router.
#[derive(Debug)]
pub struct Routed {
    pub(super) id: request::Id,
    pub(super) handle: Handle,
}

impl Routed {
    /// Reports how the last try failed and asks for another.
    pub async fn failed(
        &self,
        failure: verdict::Failure,
        repetition: service::RetryPolicy,
    ) -> message::Decision {
        let event = event::Event::Failed { request: self.id, failure, repetition };
        self.handle.ask(event, self.id).await.decision
    }
}

impl Drop for Routed {
    fn drop(&mut self) {
        self.handle.release(message::Message::Event(event::Event::Returned { request: self.id }));
    }
}
