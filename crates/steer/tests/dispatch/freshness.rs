//! Freshness: what a node may believe of its copy of the store, by the age of its news.

use std::time::{Duration, Instant};

use steer::dispatch::fleet::freshness::{Contact, Freshness, Status};

const BOUND: Duration = Duration::from_secs(3);

fn apart() -> Contact {
    Contact::Isolated
}

fn in_touch() -> Contact {
    Contact::Connected
}

/// Guards against a start that takes whatever it read for the present state of the store.
#[test]
fn a_copy_is_unconfirmed_until_there_is_news() {
    let began = Instant::now();
    let mut freshness = Freshness::new(began);
    let later = began + Duration::from_secs(60);
    assert_eq!(freshness.update(in_touch, BOUND, later), Status::Unconfirmed);
    freshness.confirm(later, later);
    assert_eq!(freshness.update(apart, BOUND, later), Status::Current);
    assert_eq!(freshness.age(later), Some(Duration::ZERO));
}

/// Guards against a node that goes by old news because nobody contradicts it.
#[test]
fn old_news_is_believed_only_in_touch() {
    let began = Instant::now();
    let mut freshness = Freshness::new(began);
    freshness.confirm(began, began);
    let bound = began + BOUND;
    assert_eq!(freshness.update(apart, BOUND, bound), Status::Current);
    let later = bound + Duration::from_millis(1);
    assert_eq!(freshness.update(in_touch, BOUND, later), Status::Current);
    assert_eq!(freshness.update(apart, BOUND, later), Status::Isolated);
}

/// Guards against a node that meets others again and believes what it knew before.
#[test]
fn a_cut_off_node_needs_news() {
    let began = Instant::now();
    let mut freshness = Freshness::new(began);
    freshness.confirm(began, began);
    let later = began + BOUND * 2;
    assert_eq!(freshness.update(apart, BOUND, later), Status::Isolated);
    assert_eq!(freshness.update(in_touch, BOUND, later), Status::Isolated);
    // The report of a node that believes its copy during an outage of the store.
    freshness.confirm(began, later);
    assert_eq!(freshness.update(in_touch, BOUND, later), Status::Current);
    assert_eq!(freshness.update(apart, BOUND, later), Status::Isolated);
}

/// Guards against reports that waited in the socket while the process stood still.
#[test]
fn a_standstill_ends_all_news() {
    let began = Instant::now();
    let mut freshness = Freshness::new(began);
    freshness.confirm(began, began);
    let woken = began + Duration::from_secs(10);
    freshness.reset(woken);
    freshness.confirm(woken, woken);
    assert_eq!(freshness.update(in_touch, BOUND, woken), Status::Unconfirmed);
    let later = woken + Duration::from_secs(1);
    freshness.confirm(later, later);
    assert_eq!(freshness.update(apart, BOUND, later), Status::Current);
}

#[test]
fn contact_is_with_other_regions_or_most_of_the_only_one() {
    let contact =
        |has_far_contact, has_far, heard| Contact::new(has_far_contact, has_far, heard, 5);
    assert_eq!(contact(true, true, 0), Contact::Connected);
    assert_eq!(contact(false, true, 5), Contact::Isolated, "the region is cut off");
    assert_eq!(contact(false, false, 3), Contact::Connected);
    assert_eq!(contact(false, false, 2), Contact::Isolated);
    assert_eq!(Contact::new(false, false, 0, 0), Contact::Connected, "there is no other node");
}
