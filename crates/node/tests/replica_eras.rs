//! A node's copy of a store that came back from a copy: what was known holds until it is written again, in whatever order news come.

use node::gateway::replica::Replica;
use platform::store::{item, position};
use quickcheck::quickcheck;

fn item(key: &str, era: u64, revision: u64, value: Option<&str>) -> item::Item {
    item::Item {
        key: key.to_owned(),
        value: value.unwrap_or_default().as_bytes().to_vec(),
        revision,
        is_removed: value.is_none(),
        lease: 0,
        era,
    }
}

fn page(era: u64, at: u64, items: Vec<item::Item>) -> item::Page {
    item::Page { items, more: false, at, era }
}

fn upstream(state: &str, calls: u64) -> String {
    format!(
        r#"{{"service":"x","address":"10.0.0.1:80","zone":"n","slots":1,"state":"{state}","call_seq":{calls}}}"#
    )
}

fn config(version: u64) -> String {
    let empty = r#"{"columns":[],"rows":[]}"#;
    format!(r#"{{"version":{version},"routes":{empty},"services":{empty}}}"#)
}

fn names(replica: &Replica) -> Vec<String> {
    replica.upstreams().map(|e| format!("{}:{:?}", e.id, e.state)).collect()
}

fn halls(replica: &Replica) -> Vec<String> {
    replica.evacuated().map(ToString::to_string).collect()
}

fn version(replica: &Replica) -> Option<u64> {
    replica.routing().map(|routing| routing.version)
}

/// A copy of era 1 at revision 500 with an upstream each that is ready, leaves, and ended, and an evacuation.
fn known() -> Replica {
    let mut replica = Replica::default();
    replica.replace(page(
        1,
        500,
        vec![
            item("op/config", 1, 480, Some(&config(7))),
            item("op/evacuate/n", 1, 490, Some("{}")),
            item("servers/ended", 1, 10, Some(&upstream("ready", 2))),
            item("servers/late", 1, 495, Some(&upstream("ready", 1))),
            item("servers/leaves", 1, 470, Some(&upstream("draining", 9))),
            item("servers/stays", 1, 20, Some(&upstream("ready", 2))),
        ],
    ));
    replica.merge(page(1, 501, vec![item("servers/ended", 1, 501, None)]));
    replica
}

/// The store as it comes back: 400 revisions ago.
fn copy(era: u64) -> item::Page {
    let items = vec![
        item("op/config", era, 90, Some(&config(4))),
        item("servers/ended", era, 10, Some(&upstream("ready", 2))),
        item("servers/leaves", era, 15, Some(&upstream("ready", 3))),
        item("servers/stays", era, 20, Some(&upstream("ready", 2))),
    ];
    page(era, 100, items)
}

const KNOWN: [&str; 3] = ["late:Ready", "leaves:Draining", "stays:Ready"];

#[test]
fn what_was_known_holds_until_it_is_written_again() {
    let mut replica = known();
    replica.replace(copy(2));
    assert_eq!(replica.at(), position::Position::new(2, 100));
    assert_eq!(
        (names(&replica), halls(&replica)),
        (KNOWN.map(String::from).into(), vec!["n".into()])
    );
    assert_eq!(version(&replica), Some(7));
    replica.merge(page(
        2,
        103,
        vec![
            item("op/config", 2, 101, Some(&config(9))),
            item("servers/leaves", 2, 102, Some(&upstream("ready", 10))),
            item("servers/ended", 2, 103, Some(&upstream("ready", 5))),
        ],
    ));
    assert_eq!(version(&replica), Some(9));
    assert_eq!(names(&replica), ["ended:Ready", "late:Ready", "leaves:Ready", "stays:Ready"]);
}

#[test]
fn what_is_not_written_again_ends_with_the_doubt_but_for_what_leaves_and_the_configuration() {
    let mut replica = known();
    replica.replace(copy(2));
    assert_eq!(replica.doubtful_era(), Some(2));
    let changes = replica.end_doubt();
    assert!(!changes.upstreams.is_empty() && changes.evacuations);
    assert_eq!(names(&replica), ["leaves:Draining", "stays:Ready"]);
    assert!(halls(&replica).is_empty());
    assert_eq!((version(&replica), replica.doubtful_era()), (Some(7), None));
}

/// Nothing says whether an evacuation in the copy was taken back before or asked for again.
#[test]
fn an_evacuation_that_was_taken_back_counts_when_the_doubt_is_over() {
    let mut replica = known();
    replica.merge(page(1, 502, vec![item("op/evacuate/n", 1, 502, None)]));
    let mut copy = copy(2);
    copy.items.push(item("op/evacuate/n", 2, 95, Some("{}")));
    replica.replace(copy);
    assert!(halls(&replica).is_empty());
    let mut again = replica.clone();
    again.merge(page(2, 104, vec![item("op/evacuate/n", 2, 104, Some("{}"))]));
    assert_eq!(halls(&again), ["n"], "written again");
    replica.end_doubt();
    assert_eq!(halls(&replica), ["n"], "still there");
}

/// A gateway reads the copy, and hears from another node's whole copy, not by a removal, that the evacuation is gone: it must not come back when
/// the doubt ends.
#[test]
fn an_evacuation_that_the_store_no_longer_lists_stays_away_when_the_doubt_is_over() {
    let mut replica = known();
    replica.merge(page(1, 502, vec![item("op/evacuate/n", 1, 502, None)]));
    let mut before = copy(2);
    before.items.push(item("op/evacuate/n", 2, 95, Some("{}")));
    replica.replace(before);
    let mut other = Replica::default();
    other.replace(item::Page { at: 105, ..copy(2) });
    replica.merge_extract(other.extract(replica.at()));
    assert_eq!(replica.at(), other.at());
    replica.end_doubt();
    assert!(halls(&replica).is_empty(), "{:?}", halls(&replica));
}

/// The history of the store is compacted after its return, so its copy is read once more: it is as old as before.
#[test]
fn an_upstream_that_leaves_does_not_come_back_when_the_copy_is_read_again() {
    let mut replica = known();
    replica.replace(copy(2));
    replica.replace(item::Page { at: 105, ..copy(2) });
    assert_eq!(names(&replica), KNOWN, "within the doubt");
    replica.end_doubt();
    replica.replace(item::Page { at: 106, ..copy(2) });
    assert_eq!(names(&replica), ["leaves:Draining", "stays:Ready"], "after it");
}

#[test]
fn answers_of_an_earlier_era_say_nothing_and_changes_of_a_later_one_wait_for_the_copy() {
    let mut replica = known();
    replica.merge(page(2, 600, vec![item("op/config", 2, 600, Some(&config(99)))]));
    assert_eq!((version(&replica), replica.at().era), (Some(7), 1));
    replica.replace(copy(2));
    let before = (names(&replica), replica.at());
    replica.replace(page(1, 900, Vec::new()));
    replica.merge(page(1, 901, vec![item("servers/stays", 1, 901, None)]));
    assert_eq!((names(&replica), replica.at()), before);
}

#[test]
fn another_node_takes_over_what_is_in_doubt_and_a_second_return_changes_nothing() {
    let mut ahead = known();
    ahead.replace(copy(2));
    for mut other in [Replica::default(), known()] {
        other.merge_extract(ahead.extract(other.at()));
        assert_eq!((names(&other), halls(&other)), (names(&ahead), halls(&ahead)));
        assert_eq!((version(&other), other.at()), (Some(7), ahead.at()));
        other.replace(copy(3));
        assert_eq!((names(&other), version(&other)), (names(&ahead), Some(7)));
        assert_eq!(other.doubtful_era(), Some(3));
        other.end_doubt();
        assert_eq!(names(&other), ["leaves:Draining", "stays:Ready"]);
        // What leaves and was never written again ends with its entry.
        other.merge(page(3, 110, vec![item("servers/leaves", 3, 110, None)]));
        assert_eq!(names(&other), ["stays:Ready"]);
    }
}

/// A step of a history: which key is written, removed, or at which the store comes back from a copy.
type Step = (u8, u8);

/// What the store held after each step, by era and revision.
fn histories(steps: &[Step]) -> Vec<item::Page> {
    let mut pages = vec![page(0, 0, Vec::new())];
    let (mut versions, mut calls) = (0, 0);
    for (what, key) in steps {
        let last = pages.last().expect("there is one").clone();
        let revision = last.at + 1;
        let key = format!("servers/{}", key % 4);
        let mut next = item::Page { at: revision, ..last.clone() };
        match what % 8 {
            0 => {
                let back = usize::from(*what) % pages.len();
                next = pages[back].clone().of_era(last.era + 1);
                // The operator writes the newest configuration again at once.
                next.at += 1;
                next.items.retain(|item| item.key != "op/config");
                next.items.push(item("op/config", next.era, next.at, Some(&config(versions))));
            }
            1 => next.items.retain(|item| item.key != key),
            2 => {
                versions += 1;
                next.items.retain(|item| item.key != "op/config");
                next.items.push(item("op/config", last.era, revision, Some(&config(versions))));
            }
            _ => {
                calls += 1;
                next.items.retain(|item| item.key != key);
                let value = upstream("ready", calls);
                next.items.push(item(&key, last.era, revision, Some(&value)));
            }
        }
        pages.push(next);
    }
    pages
}

/// What the store held of evacuations after each step.
fn evacuations(steps: &[Step]) -> Vec<item::Page> {
    let mut pages = vec![page(0, 0, Vec::new())];
    for (what, key) in steps {
        let last = pages.last().expect("there is one").clone();
        let key = format!("op/evacuate/{}", key % 3);
        let mut next = item::Page { at: last.at + 1, ..last.clone() };
        match what % 4 {
            0 => {
                let back = usize::from(*what) % pages.len();
                next = pages[back].clone().of_era(last.era + 1);
                next.at += 1;
            }
            1 => next.items.retain(|item| item.key != key),
            _ => {
                next.items.retain(|item| item.key != key);
                next.items.push(item(&key, last.era, next.at, Some("{}")));
            }
        }
        pages.push(next);
    }
    pages
}

/// Lets a node hear of the store, or of another node that is ahead.
fn hear(nodes: &mut [Replica; 2], which: bool, store: &item::Page, from_other: bool) {
    let index = usize::from(which);
    let other = &nodes[1 - index];
    match from_other && other.is_complete() && other.at() > nodes[index].at() {
        true => {
            let extract = other.extract(nodes[index].at());
            nodes[index].merge_extract(extract);
        }
        false => {
            nodes[index].replace(store.clone());
        }
    }
}

/// Returns whether two nodes hold the evacuations of the store at the end, whatever each heard before.
fn hold_the_store_s_evacuations(
    steps: &[Step],
    heard: &[(bool, u8, bool)],
    from_other: bool,
) -> bool {
    let pages = evacuations(steps);
    let mut nodes = [Replica::default(), Replica::default()];
    for &(which, page, from_other) in heard {
        hear(&mut nodes, which, &pages[usize::from(page) % pages.len()], from_other);
    }
    let last = pages.last().expect("there is one").clone();
    hear(&mut nodes, false, &last, false);
    hear(&mut nodes, true, &last, from_other);
    let mut wanted: Vec<&str> =
        last.items.iter().filter_map(|item| item.key.strip_prefix("op/evacuate/")).collect();
    wanted.sort_unstable();
    nodes.iter_mut().all(|node| {
        node.end_doubt();
        halls(node) == wanted
    })
}

/// A node that reads the store twice in an era whose doubt is not over finds that a key is gone which it holds to be outdated; the other
/// node, which has it as outdated too, must be told.
#[test]
fn what_goes_while_an_era_is_in_doubt_is_told_to_other_nodes() {
    let steps = [vec![(0, 0); 41], vec![(2, 0), (1, 0)], vec![(0, 0); 17], vec![(2, 0), (245, 0)]];
    let heard = [(false, 42, false), (false, 106, false), (false, 61, false), (true, 0, true)];
    assert!(hold_the_store_s_evacuations(&steps.concat(), &heard, true));
}

quickcheck! {
    /// Whatever two nodes heard before, and from whom, both hold what the store holds once the doubt is over.
    fn evacuations_are_those_of_the_store_when_the_doubt_is_over(steps: Vec<Step>, heard: Vec<(bool, u8, bool)>, from_other: bool) -> bool {
        hold_the_store_s_evacuations(&steps, &heard, from_other)
    }

    /// Two nodes that hear of the store at any time, in any order, and of each other, neither go back nor differ in the end.
    fn copies_of_several_eras_converge(steps: Vec<Step>, heard: Vec<(bool, u8, bool)>) -> bool {
        let pages = histories(&steps);
        let mut nodes = [Replica::default(), Replica::default()];
        for (which, page, from_other) in heard {
            let index = usize::from(which);
            let before = (nodes[index].at(), version(&nodes[index]));
            match from_other {
                true => {
                    let extract = nodes[1 - index].extract(nodes[index].at());
                    if nodes[1 - index].is_complete() && extract.page.position() > nodes[index].at() {
                        nodes[index].merge_extract(extract);
                    }
                }
                false => {
                    nodes[index].replace(pages[usize::from(page) % pages.len()].clone());
                }
            }
            let after = (nodes[index].at(), version(&nodes[index]));
            if after.0 < before.0 || after.1 < before.1 {
                return false;
            }
        }
        let last = pages.last().expect("there is one").clone();
        for node in &mut nodes {
            node.replace(last.clone());
            node.end_doubt();
            node.replace(last.clone());
        }
        let [first, second] = &nodes;
        // An upstream that one node knows to have ended, and that the copy brought back, is written again before the other may differ.
        let listed = |node: &Replica| names(node).len();
        let wanted = last.items.iter().filter(|item| item.key.starts_with("servers/")).count();
        first.at() == second.at() && version(first) == version(second)
            && listed(first) <= wanted && listed(second) <= wanted
    }
}

/// The number of the fleet outlasts a return of the store from a copy without it, and is written again.
#[test]
fn the_number_of_the_fleet_holds_though_the_store_lost_it() {
    let mut replica = known();
    assert!(replica.lacks_fleet(), "nobody wrote it");
    replica.merge(page(1, 503, vec![item("fleet", 1, 503, Some("77"))]));
    let fleet = replica.fleet();
    assert!(fleet.is_some() && !replica.lacks_fleet());
    assert_eq!(replica.extract(position::Position::default()).fleet, 77);
    replica.replace(copy(2));
    assert_eq!((replica.fleet(), replica.lacks_fleet()), (fleet, true));
    replica.end_doubt();
    assert_eq!((replica.fleet(), replica.lacks_fleet()), (fleet, true));
    replica.merge(page(2, 104, vec![item("fleet", 2, 104, Some("77"))]));
    assert_eq!((replica.fleet(), replica.lacks_fleet()), (fleet, false));
    let changes = replica.merge(page(2, 105, vec![item("fleet", 2, 105, Some("none"))]));
    assert_eq!((replica.fleet(), changes.faults.len()), (fleet, 1), "what cannot be read");
}
