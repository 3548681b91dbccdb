//! Slot of the selected upstream, for which a request waits before its attempt starts.

use std::time::Instant;

use steer::dispatch::give_up;
use steer::dispatch::quota::usage;
use steer::dispatch::refusal;
use steer::dispatch::retry;
use steer::dispatch::urgency;

use crate::gateway::proxy::in_flight;
use crate::gateway::proxy::tries::Tries;
use crate::gateway::slots;

impl Tries<'_> {
    /// Holds a slot if the choice needs one. Returns `None` if the request is sent without a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request fails.
    pub(super) async fn hold_slot(
        &mut self,
        choice: &retry::Choice,
    ) -> Result<Option<slots::Guard>, give_up::Reason> {
        let Some(slot) = &choice.slot else { return Ok(None) };
        let held = self.ask_for_slot(choice, slot).await;
        if choice.is_first {
            let service = self.request.service;
            let urgency = urgency::Urgency::of(self.request.route, self.request.organisation);
            let mut dispatcher = self.server.state.dispatcher.borrow_mut();
            dispatcher.record_slot_outcome(service, urgency, held.is_ok());
        }
        let held = held?;
        // The key may have been revoked, or the request quarantined, while it waited.
        self.check()?;
        Ok(held)
    }

    /// Asks the owner for the slot; without its decision, the local estimate decides.
    async fn ask_for_slot(
        &mut self,
        choice: &retry::Choice,
        slot: &retry::NeededSlot,
    ) -> Result<Option<slots::Guard>, give_up::Reason> {
        self.progress.awaiting_slot();
        self.request.in_flight.set_phase(in_flight::Phase::WaitingForSlot);
        let organisation = self.request.organisation;
        let request = slots::Request {
            need: &slot.need,
            urgency: urgency::Urgency::of(self.request.route, organisation),
            organisation: organisation
                .map_or(0, |organisation| usage::Key::for_organisation(&organisation.name).0),
            deadline: self.deadline_for_upstream().instant(),
        };
        match slots::hold(&self.server.state, request).await {
            Ok(Some(held)) => Ok(Some(held)),
            Ok(None) => {
                let request = self.for_choice();
                let dispatcher = self.server.state.dispatcher.borrow();
                self.progress.admit_without_slot(request, slot, &dispatcher, Instant::now())?;
                Ok(None)
            }
            Err(refused) => Err(self.progress.refuse(refusal::Refusal::NoSlot {
                retry_after: refused.retry_after,
                ask: refusal::SlotAsk {
                    upstream: choice.upstream.id.clone(),
                    owner: refused.owner,
                    position: refused.position,
                    max_wait: slot.need.max_wait,
                },
            })),
        }
    }
}
