//! Roll-outs: how a gateway's state changes by them, with its lines of log.

use std::time::Instant;

use model::id;
use steer::dispatch::dispatcher;
use steer::dispatch::rollout;

use crate::gateway::replica;
use crate::gateway::state::State;

impl State {
    /// Puts the orders and the recorded stages of a copy of the store into force.
    pub(super) fn adopt_rollouts(&self, replica: &replica::Replica) {
        let orders = replica.rollout_orders().cloned().collect();
        let records: Vec<_> = replica.rollout_records().cloned().collect();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let changed = dispatcher.set_rollouts(orders, &records, Instant::now());
        for service in &changed {
            log_stage(&dispatcher, service);
        }
    }

    /// Applies what another node, or a sum of several, reports of answers in roll-outs.
    pub fn receive_rollouts(&self, node: &id::Node, reports: &[rollout::Report]) {
        if reports.is_empty() {
            return;
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.rollouts_mut().receive(node, reports);
        self.judge_rollouts(&mut dispatcher);
    }

    /// Judges the versions that are rolled out by the answers known so far.
    pub(super) fn judge_rollouts(&self, dispatcher: &mut dispatcher::Dispatcher) {
        let bad = dispatcher.rollouts_mut().judge();
        for service in &bad {
            log_bad(dispatcher, service);
        }
    }
}

fn log_stage(dispatcher: &dispatcher::Dispatcher, service: &id::Service) {
    let Some(rollout) = dispatcher.rollouts().get(service) else { return };
    let (service, target) = (service.as_str(), rollout.order.target.as_str());
    let (stage, order) = (rollout.stage.as_str(), rollout.order.number);
    log::info!(service, target, stage, order; "rollout-stage");
}

fn log_bad(dispatcher: &dispatcher::Dispatcher, service: &id::Service) {
    let Some(rollout) = dispatcher.rollouts().get(service) else { return };
    let counts = rollout.answers.total();
    let (service, target) = (service.as_str(), rollout.order.target.as_str());
    let (stage, order) = (rollout.stage.as_str(), rollout.order.number);
    let (new, new_failed, new_slow) = (counts.new.answers, counts.new.failed, counts.new.slow);
    let (old, old_failed, old_slow) = (counts.old.answers, counts.old.failed, counts.old.slow);
    log::warn!(
        service, target, stage, order, new, new_failed, new_slow, old, old_failed, old_slow;
        "rollout-bad"
    );
}
