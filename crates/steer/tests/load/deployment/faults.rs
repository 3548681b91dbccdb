//! Failures of gateways in the simulation, and what callers and other gateways notice of them.

use std::time::{Duration, Instant};

use super::{Event, Gateway, Simulation};

/// Time after which a gateway that does not respond counts as dead, as between real gateways.
const DEAD_AFTER: Duration = Duration::from_millis(1_600);

/// A failure during the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Demand reports from and to a region are lost.
    Cut { region: usize, from: Duration, until: Duration },
    /// All running gateways of a region lose their state, and the requests that wait for a slot.
    Restart { region: usize, at: Duration },
    /// A gateway ends; its callers use the next one. Its requests at upstreams run on, without a
    /// caller.
    End { gateway: usize, at: Duration },
    /// A gateway does nothing for a while; its callers use the next one meanwhile.
    Pause { gateway: usize, at: Duration, duration: Duration },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Runs,
    Dead,
    PausedUntil(Instant),
}

impl Simulation {
    pub(super) fn schedule_faults(&mut self) {
        for fault in self.plan.faults.clone() {
            match fault {
                // Applied where demand is reported.
                Fault::Cut { .. } => {}
                Fault::Restart { at, .. } | Fault::End { at, .. } | Fault::Pause { at, .. } => {
                    self.schedule(self.began + at, Event::Fault(fault));
                }
            }
        }
    }

    /// Returns the gateway that a caller of `gateway` reaches: this one or the next of its region.
    pub(super) fn reached(&self, gateway: usize) -> Option<usize> {
        let region = self.gateways[gateway].region;
        let mut others = (gateway..self.gateways.len()).chain(0..gateway);
        others.find(|g| self.gateways[*g].region == region && self.gateways[*g].runs())
    }

    /// Returns an event that can be applied now: those for dead gateways are dropped, those for paused
    /// ones wait until they resume.
    pub(super) fn pass(&mut self, event: Event, now: Instant) -> Option<Event> {
        let gateway = match &event {
            Event::Answered { job, .. } | Event::TurnedAway { job, .. } => job.gateway,
            Event::Demand { to, .. } => *to,
            Event::Slots(event) => event.gateway(),
            _ => return Some(event),
        };
        match self.gateways[gateway].state {
            State::Runs => Some(event),
            State::Dead => None,
            State::PausedUntil(until) => {
                self.schedule(until.max(now), event);
                None
            }
        }
    }

    pub(super) fn fail(&mut self, fault: Fault, now: Instant) {
        match fault {
            Fault::Cut { .. } => {}
            Fault::Restart { region, .. } => self.restart(region, now),
            Fault::End { gateway, .. } => {
                self.gateways[gateway].state = State::Dead;
                self.schedule(now + DEAD_AFTER, Event::CountsAsDead { gateway });
            }
            Fault::Pause { gateway, duration, .. } => {
                self.schedule(now + DEAD_AFTER, Event::CountsAsDead { gateway });
                self.schedule(now + duration, Event::Resumes { gateway });
                self.gateways[gateway].state = State::PausedUntil(now + duration);
            }
        }
    }

    pub(super) fn resume(&mut self, gateway: usize, now: Instant) {
        self.gateways[gateway].state = State::Runs;
        self.gateways[gateway].counts_as_dead = false;
        self.update_owners(now);
    }

    pub(super) fn count_as_dead(&mut self, gateway: usize, now: Instant) {
        if !self.gateways[gateway].runs() {
            self.gateways[gateway].counts_as_dead = true;
            self.update_owners(now);
        }
    }

    fn restart(&mut self, region: usize, now: Instant) {
        for (index, fresh) in super::gateways(&self.plan).into_iter().enumerate() {
            let gateway = &mut self.gateways[index];
            if gateway.region == region && gateway.runs() {
                gateway.dispatcher = fresh.dispatcher;
                gateway.slots.restart(now - self.began);
                gateway.restarted = Some(now);
                self.start_gateway(index, now);
            }
        }
    }

    fn update_owners(&mut self, now: Instant) {
        let owners = super::owners(&self.plan, &self.gateways);
        let running = self.gateways.iter_mut().filter(|gateway| gateway.runs());
        for Gateway { dispatcher, region, .. } in running {
            let known = owners[*region].near.len();
            dispatcher.set_nodes(owners[*region].clone(), known, now);
        }
    }
}
