//! Health: upstreams that cannot be reached, break or fall silent.

use std::time::{Duration, Instant};

use steer::dispatch::outcome;

use crate::setup;

#[test]
fn an_upstream_that_cannot_be_reached_rests_and_is_tried_again() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")], now);
    let first = setup::choose(&mut dispatcher, &setup::route(&[]), 1, now).expect("both are idle");
    dispatcher.sent(&first.id, true, now);
    dispatcher.ended(&first, outcome::Outcome::NotSent, Duration::ZERO, now);
    let second = setup::choose(&mut dispatcher, &setup::route(&[]), 1, now).expect("one is sound");
    assert_ne!(first.id, second.id);
    let later = now + Duration::from_secs(10);
    let third =
        setup::choose(&mut dispatcher, &setup::route(&[]), 1, later).expect("both are sound");
    assert_eq!(first.id, third.id);
}

#[test]
fn an_upstream_whose_only_try_broke_is_not_taken_for_silent() {
    let now = Instant::now();
    for outcome in [outcome::Outcome::Broken, outcome::Outcome::Abandoned] {
        let mut dispatcher = setup::dispatcher("n");
        setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")], now);
        let first =
            setup::choose(&mut dispatcher, &setup::route(&[]), 1, now).expect("both are idle");
        dispatcher.sent(&first.id, true, now);
        dispatcher.ended(&first, outcome, Duration::ZERO, now);
        let later = now + Duration::from_secs(60);
        let again =
            setup::choose(&mut dispatcher, &setup::route(&[]), 1, later).expect("both are sound");
        // A broken try makes it dearer for a while, by less than what a second upstream costs.
        assert_eq!(first.id, again.id, "{outcome:?}");
    }
}

#[test]
fn an_upstream_that_falls_silent_gets_no_more_while_another_answers() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")], now);
    let silent = setup::choose(&mut dispatcher, &setup::route(&[]), 1, now).expect("both are idle");
    dispatcher.sent(&silent.id, true, now);
    let later = now + Duration::from_secs(5);
    let other = setup::choose(&mut dispatcher, &setup::route(&[]), 1, later).expect("one is sound");
    assert_ne!(silent.id, other.id);
}
