//! Figures that are no counters, brought up to date from the state.

use std::time::Instant;

use crate::gateway::state::State;
use crate::gateway::store_calls;

impl State {
    /// Brings the figures up to date that are no counters.
    pub fn update_gauges(&self, now: Instant) {
        let waiting =
            store_calls::Kind::ALL.into_iter().filter_map(|k| self.calls.waiting(k, now)).max();
        let figures = &self.metrics;
        figures.store_call_age.set(waiting.unwrap_or_default().as_secs_f64());
        let answered = self.calls.since_answer(now).unwrap_or_default();
        figures.store_answer_age.set(answered.as_secs_f64());
        figures.is_watching.set(f64::from(u8::from(self.is_watching.get())));
        let lapsed = u32::try_from(self.dispatcher.borrow().lapsed().len()).unwrap_or(u32::MAX);
        figures.upstreams_lapsed.set(lapsed.into());
        let dispatcher = self.dispatcher.borrow();
        let ejected = dispatcher.upstreams().filter(|u| u.health.is_ejected(now)).count();
        let unreached = dispatcher.unreached_groups().count();
        figures.demand.set(dispatcher.demand());
        drop(dispatcher);
        figures.upstreams_ejected.set(u32::try_from(ejected).unwrap_or(u32::MAX).into());
        figures.groups_unreached.set(u32::try_from(unreached).unwrap_or(u32::MAX).into());
        let held = self.quarantine.borrow().held(now).count();
        figures.held.set(u32::try_from(held).unwrap_or(u32::MAX).into());
        let limited = self.dispatcher.borrow().limits().count_named();
        figures.upstreams_limited.set(u32::try_from(limited).unwrap_or(u32::MAX).into());
        let counts = self.quotas.borrow_mut().take_reservation_counts();
        figures.reservations.add(counts);
        let counts = self.dispatcher.borrow_mut().take_reservation_counts();
        figures.reservations.add(counts);
    }
}
