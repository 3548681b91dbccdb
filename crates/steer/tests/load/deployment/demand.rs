//! Demand of regions in the simulation: reports of it between gateways, and how far splits move.

use std::time::{Duration, Instant};

use super::{Event, Fault, Simulation};

/// Delay of demand that representatives forward to another region.
const FORWARD_DELAY: Duration = Duration::from_millis(700);

impl Simulation {
    pub(super) fn report_demand(&mut self, now: Instant) {
        let running = self.gateways.iter_mut().enumerate().filter(|(_, gateway)| gateway.runs());
        let own: Vec<_> =
            running.map(|(from, gateway)| (from, gateway.dispatcher.own_demand(now))).collect();
        for (from, rates) in own {
            if rates.is_empty() {
                continue;
            }
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let (near, far) = (self.gateways[from].region, self.gateways[to].region);
                let delay = if near == far { Duration::ZERO } else { FORWARD_DELAY };
                if !self.is_demand_lost(near, far, now) {
                    let rates = rates.clone();
                    self.schedule(now + delay, Event::Demand { from, to, rates });
                }
            }
        }
    }

    fn is_demand_lost(&mut self, from: usize, to: usize, now: Instant) -> bool {
        let elapsed = now - self.began;
        let cuts = |fault: &Fault| match fault {
            Fault::Cut { region, from: begin, until } => {
                from != to && [from, to].contains(region) && (*begin..*until).contains(&elapsed)
            }
            Fault::Restart { .. } | Fault::End { .. } | Fault::Pause { .. } => false,
        };
        self.plan.faults.iter().any(cuts) || self.is_lost(self.plan.report_loss)
    }

    /// Adds up how far the splits moved.
    pub(super) fn record_splits(&mut self, now: Instant) {
        let splits: Vec<Vec<_>> = self
            .gateways
            .iter()
            .map(|gateway| gateway.dispatcher.splits().map(|(_, split)| split.clone()).collect())
            .collect();
        if now >= self.began + self.plan.warm_up {
            let pairs = self.splits.iter().flatten().zip(splits.iter().flatten());
            let moved: f64 = pairs.map(|(old, new)| old.distance(new).as_f64()).sum();
            self.moved += moved / self.gateways.len() as f64;
        }
        self.splits = splits;
    }
}
