//! Tests of anti-entropy repair in simulated fleets: facts known to some nodes soon reach all
//! nodes.

use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::fleet::gossip;
use steer::dispatch::fleet::repair::{self, Digest};

/// The nodes of one region, each of which either knows a fact or does not.
struct Fleet {
    knows: Vec<bool>,
    loss: f64,
    random: rngs::StdRng,
    answers: usize,
}

impl Fleet {
    fn new(nodes: usize, loss: f64, seed: u64) -> Self {
        let random = rngs::StdRng::seed_from_u64(seed);
        Self { knows: vec![false; nodes], loss, random, answers: 0 }
    }

    fn digest(&self, node: usize) -> Digest {
        Digest::of(self.knows[node].then_some(7).into_iter())
    }

    fn arrives(&mut self) -> bool {
        !self.random.random_bool(self.loss)
    }

    /// Sends a heartbeat from one node to all others and delivers their answers.
    fn heartbeat(&mut self, sender: usize) {
        let sender_digest = self.digest(sender);
        let others = self.knows.len() - 1;
        for node in (0..self.knows.len()).filter(|node| *node != sender) {
            if !self.arrives() {
                continue;
            }
            let own = self.digest(node);
            let random = &mut self.random;
            let draw = |nodes| random.random_range(0..nodes);
            if !repair::is_answered(sender_digest, own, others, draw) {
                continue;
            }
            self.answers += 1;
            if self.arrives() {
                self.knows[sender] |= self.knows[node];
            }
        }
    }

    /// Returns the number of heartbeats per node until all nodes know the fact.
    fn rounds(&mut self) -> u32 {
        for round in 0.. {
            if self.knows.iter().all(|knows| *knows) {
                return round;
            }
            (0..self.knows.len()).for_each(|node| self.heartbeat(node));
        }
        unreachable!("the loop has no end")
    }
}

/// A tenth of the nodes missed a report.
#[test]
fn nodes_that_missed_a_report_are_repaired_within_two_seconds() {
    for (nodes, loss) in [(2, 0.0), (20, 0.0), (20, 0.1), (75, 0.0), (75, 0.1), (300, 0.1)] {
        for seed in 0..200 {
            let mut fleet = Fleet::new(nodes, loss, seed);
            (0..nodes).filter(|node| node % 10 != 1).for_each(|node| fleet.knows[node] = true);
            let time = gossip::heartbeat(nodes - 1) * fleet.rounds();
            assert!(time.as_millis() <= 2_000, "{nodes} nodes, {loss} loss: {time:?}, seed {seed}");
        }
    }
}

#[test]
fn nodes_with_the_same_facts_send_no_answers() {
    let mut fleet = Fleet::new(20, 0.0, 1);
    fleet.knows.fill(true);
    (0..20).for_each(|node| fleet.heartbeat(node));
    assert_eq!(fleet.answers, 0);
}

#[test]
fn few_nodes_answer_one_heartbeat_in_a_large_region() {
    let mut fleet = Fleet::new(300, 0.0, 1);
    fleet.knows.fill(true);
    fleet.knows[0] = false;
    fleet.heartbeat(0);
    assert!((1..=24).contains(&fleet.answers), "{}", fleet.answers);
    assert!(fleet.knows[0]);
}
