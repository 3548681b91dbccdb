//! Repair of what nodes missed, in simulated fleets: whoever is the only one to know, all know it soon.

use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::fleet::gossip;
use steer::dispatch::fleet::repair::{self, Digest};

/// Nodes of one region that know a fact or do not.
struct Fleet {
    knows: Vec<bool>,
    lost: f64,
    random: rngs::StdRng,
    answers: usize,
}

impl Fleet {
    fn new(nodes: usize, lost: f64, seed: u64) -> Self {
        let random = rngs::StdRng::seed_from_u64(seed);
        Self { knows: vec![false; nodes], lost, random, answers: 0 }
    }

    fn digest(&self, node: usize) -> Digest {
        Digest::of(self.knows[node].then_some(7).into_iter())
    }

    fn arrives(&mut self) -> bool {
        !self.random.random_bool(self.lost)
    }

    /// Lets one node send a heartbeat to all others, and those answer it.
    fn beat(&mut self, sender: usize) {
        let theirs = self.digest(sender);
        let others = self.knows.len() - 1;
        for node in (0..self.knows.len()).filter(|node| *node != sender) {
            if !self.arrives() {
                continue;
            }
            let own = self.digest(node);
            let random = &mut self.random;
            let draw = |nodes| random.random_range(0..nodes);
            if !repair::is_answered(theirs, own, others, draw) {
                continue;
            }
            self.answers += 1;
            if self.arrives() {
                self.knows[sender] |= self.knows[node];
            }
        }
    }

    /// Returns the heartbeats of each node until all know it.
    fn rounds(&mut self) -> u32 {
        for round in 0.. {
            if self.knows.iter().all(|knows| *knows) {
                return round;
            }
            (0..self.knows.len()).for_each(|node| self.beat(node));
        }
        unreachable!("the rounds do not end")
    }
}

/// News reach nearly all nodes at once; a tenth of them missed it.
#[test]
fn who_missed_news_knows_them_within_two_seconds() {
    for (nodes, lost) in [(2, 0.0), (20, 0.0), (20, 0.1), (75, 0.0), (75, 0.1), (300, 0.1)] {
        for seed in 0..200 {
            let mut fleet = Fleet::new(nodes, lost, seed);
            (0..nodes).filter(|node| node % 10 != 1).for_each(|node| fleet.knows[node] = true);
            let time = gossip::heartbeat(nodes - 1) * fleet.rounds();
            assert!(time.as_millis() <= 2_000, "{nodes} nodes, {lost} lost: {time:?}, seed {seed}");
        }
    }
}

#[test]
fn nodes_that_know_the_same_send_nothing() {
    let mut fleet = Fleet::new(20, 0.0, 1);
    fleet.knows.fill(true);
    (0..20).for_each(|node| fleet.beat(node));
    assert_eq!(fleet.answers, 0);
}

#[test]
fn few_nodes_answer_one_heartbeat_in_a_large_region() {
    let mut fleet = Fleet::new(300, 0.0, 1);
    fleet.knows.fill(true);
    fleet.knows[0] = false;
    fleet.beat(0);
    assert!((1..=24).contains(&fleet.answers), "{}", fleet.answers);
    assert!(fleet.knows[0]);
}
