//! Tests of the timeouts and the backoff of store calls.

use std::time::Duration;

use model::bounds::Bounds;
use model::id;
use quickcheck::quickcheck;
use steer::dispatch::fleet::store_call::{self, Backoff, Turn};
use steer::dispatch::fleet::watchers;

/// Time until an answer of the store arrives in the slowest known deployment: a slow store in
/// another region.
const ANSWER: Duration = Duration::from_millis(310);

/// Values of `Bounds::drain` in several deployments.
const DRAINS: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_millis(2_500),
    Duration::from_secs(3),
    Duration::from_secs(8),
];

/// Values of `Bounds::contact` in several deployments, and smaller and larger ones.
const CONTACTS: [Duration; 6] = [
    Duration::from_secs(2),
    Duration::from_millis(2_500),
    Duration::from_secs(3),
    Duration::from_secs(4),
    Duration::from_secs(6),
    Duration::from_secs(10),
];

#[test]
fn the_longest_gap_and_an_answer_stay_below_contact() {
    for contact in CONTACTS {
        let gap = store_call::longest_gap(contact) + ANSWER;
        assert!(gap < contact, "{gap:?} of {contact:?}");
    }
}

#[test]
fn a_node_takes_over_from_unanswered_watchers_within_the_bound_on_leaving_upstreams() {
    let nodes: Vec<id::Node> = ["n-1", "n-2"].into_iter().map(id::Node::new).collect();
    let last = watchers::place(&nodes[1], nodes[..1].iter()).expect("the second node watches");
    for contact in CONTACTS {
        for drain in DRAINS {
            let bound = store_call::bound(&Bounds { contact, drain, ..Bounds::default() });
            let takeover =
                store_call::longest_takeover(bound, last.batch_delay(), last.watch_share())
                    + ANSWER;
            assert!(takeover < drain, "{takeover:?} of {drain:?}, contact {contact:?}");
        }
    }
}

#[test]
fn a_slow_store_answers_in_time() {
    for contact in CONTACTS {
        assert!(store_call::watch_answer_timeout(contact) > ANSWER);
        assert!(store_call::answer_timeout(contact) > ANSWER);
        assert!(store_call::read_timeout(contact) > ANSWER);
    }
}

quickcheck! {
    fn no_pause_of_one_of_the_first_nodes_is_longer_than_the_gap_allows(
        failures: u8,
        draws: Vec<u8>
    ) -> bool {
        let contact = CONTACTS[0];
        let mut backoff = Backoff::default();
        for _ in 0..failures {
            backoff.pause(contact, Turn::First, 1.0);
        }
        let draw = |byte: &u8| f64::from(*byte) / f64::from(u8::MAX);
        let longest = store_call::longest_gap(contact).saturating_sub(store_call::answer_timeout(contact));
        draws.iter().all(|byte| backoff.pause(contact, Turn::First, draw(byte)) <= longest)
    }
}

#[test]
fn the_pause_doubles_with_failures_and_is_reset_by_an_answer() {
    let contact = CONTACTS[1];
    let mut backoff = Backoff::default();
    let first = backoff.pause(contact, Turn::Later, 0.5);
    let second = backoff.pause(contact, Turn::Later, 0.5);
    assert!(backoff.has_failed());
    assert_eq!(second, first * 2);
    backoff.reset();
    assert!(!backoff.has_failed());
    assert_eq!(backoff.pause(contact, Turn::Later, 0.5), first);
}

#[test]
fn the_first_two_nodes_of_a_region_take_precedence() {
    let nodes: Vec<id::Node> = (1..=5).map(|n| id::Node::new(&format!("n-{n}"))).collect();
    let turn = |me: usize| {
        let others = nodes.iter().enumerate().filter(|(n, _)| *n != me).map(|(_, node)| node);
        watchers::turn(&nodes[me], others)
    };
    assert_eq!([0, 1].map(turn), [Turn::First; 2]);
    assert_eq!([2, 3, 4].map(turn), [Turn::Later; 3]);
}

#[test]
fn a_starting_node_has_had_an_answer_of_the_store_once_contact_has_passed() {
    for contact in CONTACTS {
        let settle = store_call::CHECK_PERIOD + watchers::settle(contact, true, 1.0);
        let latest = settle + store_call::answer_timeout(contact);
        assert!(latest < contact + ANSWER, "{latest:?} of {contact:?}");
        assert!(watchers::settle(contact, true, 0.0) >= Duration::from_secs(1));
        assert!(watchers::settle(contact, false, 1.0).is_zero());
    }
}
