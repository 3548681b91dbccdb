//! A node's copy of the store: whatever order news come in, nothing goes back.

use node::gateway::replica;
use platform::store::{item, position};
use quickcheck::quickcheck;

fn item(key: &str, revision: u64, value: Option<&str>) -> item::Item {
    item::Item {
        key: key.to_owned(),
        value: value.unwrap_or_default().as_bytes().to_vec(),
        revision,
        is_removed: value.is_none(),
        lease: 0,
        era: 0,
    }
}

fn page(items: Vec<item::Item>, at: u64) -> item::Page {
    item::Page { items, more: false, at, era: 0 }
}

fn position(revision: u64) -> position::Position {
    position::Position::new(0, revision)
}

fn entry(address: u8) -> String {
    format!(
        r#"{{"service":"x","address":"10.0.0.{address}:80","zone":"n","slots":1,"state":"ready"}}"#
    )
}

fn version(number: u64) -> String {
    let empty = r#"{"columns":[],"rows":[]}"#;
    format!(r#"{{"version":{number},"routes":{empty},"services":{empty}}}"#)
}

fn names(replica: &replica::Replica) -> Vec<String> {
    replica.upstreams().map(|e| e.id.as_str().to_owned()).collect()
}

#[test]
fn a_whole_copy_takes_away_what_it_lacks() {
    let mut replica = replica::Replica::default();
    let first = vec![item("servers/a", 1, Some(&entry(1))), item("servers/b", 2, Some(&entry(2)))];
    replica.replace(page(first, 2));
    let changes = replica.replace(page(vec![item("servers/b", 2, Some(&entry(2)))], 5));
    assert!(!changes.upstreams.is_empty());
    assert_eq!(names(&replica), ["b"]);
}

#[test]
fn an_older_copy_brings_nothing_back() {
    let mut replica = replica::Replica::default();
    replica.replace(page(vec![item("servers/a", 1, Some(&entry(1)))], 1));
    replica.merge(page(vec![item("servers/a", 2, None)], 2));
    // Another node that is behind tells its whole copy.
    replica.replace(page(vec![item("servers/a", 1, Some(&entry(1)))], 1));
    assert!(names(&replica).is_empty());
    assert_eq!(replica.at(), position(2));
}

#[test]
fn config_a_lower_version_under_a_higher_revision_is_not_taken() {
    let mut replica = replica::Replica::default();
    replica.replace(page(vec![item("op/config", 1, Some(&version(7)))], 1));
    let changes = replica.merge(page(vec![item("op/config", 2, Some(&version(5)))], 2));
    assert!(!changes.routing);
    assert_eq!(replica.routing().map(|r| r.version), Some(7));
}

#[test]
fn an_entry_of_another_writer_names_no_upstream_and_the_others_hold() {
    let alien = [
        "nonsense",
        "\u{0}\u{1}",
        "[]",
        r#"{"service":"x","address":"10.0.0.1:80","zone":"n","state":"ready"}"#,
        r#"{"service":"x","address":"10.0.0.1:80","zone":"n","slots":"many","state":"ready"}"#,
        r#"{"service":7,"address":"10.0.0.1:80","zone":"n","slots":1,"state":"ready"}"#,
        r#"{"service":"x","address":"10.0.0.1:80","zone":"n","slots":1,"state":"resting"}"#,
        r#"{"service":"x","address":"10.0.0.1:80","zone":"n","slots":1,"state":"ready","born":"now"}"#,
    ];
    for text in alien {
        let mut replica = replica::Replica::default();
        let both =
            vec![item("servers/a", 1, Some(&entry(1))), item("servers/b", 1, Some(&entry(2)))];
        replica.replace(page(both, 1));
        let changes = replica.merge(page(vec![item("servers/a", 2, Some(text))], 2));
        assert_eq!((changes.faults.len(), changes.upstreams.len()), (1, 1), "{text}");
        assert_eq!(names(&replica), ["b"], "{text}");
        let again = replica.merge(page(vec![item("servers/a", 3, Some(&entry(1)))], 3));
        assert!(!again.upstreams.is_empty() && again.faults.is_empty(), "{text}");
        assert_eq!(names(&replica), ["a", "b"], "{text}");
    }
}

#[test]
fn entries_with_and_without_a_time_of_start_stand_side_by_side() {
    let mut replica = replica::Replica::default();
    let born = entry(1).replace('}', r#","born":1790000000000}"#);
    let both = vec![item("servers/a", 1, Some(&born)), item("servers/b", 1, Some(&entry(2)))];
    let changes = replica.replace(page(both, 1));
    assert!(changes.faults.is_empty());
    let starts: Vec<u64> = replica.upstreams().map(|entry| entry.born).collect();
    assert_eq!(starts, [1_790_000_000_000, 0]);
}

const KEY: &str = "marked-key-9f3a7c";

fn version_with_organisation(number: u64) -> String {
    let tenants = format!(
        r#"{{"columns":["name","api_keys","rate_per_s"],"rows":[["mairie",["{KEY}"],3.5]]}}"#
    );
    version(number).replace("}}", &format!(r#"}},"tenants":{tenants}}}"#))
}

#[test]
fn keys_of_organisations_are_neither_kept_nor_passed_on() {
    let mut replica = replica::Replica::default();
    let text = version_with_organisation(7);
    assert!(text.contains(KEY));
    replica.replace(page(vec![item("op/config", 1, Some(&text))], 1));
    let extract = replica.extract(position(0));
    let passed_on = String::from_utf8(extract.page.items[0].value.clone()).expect("text");
    assert!(!passed_on.contains(KEY) && !format!("{replica:?}").contains(KEY), "{passed_on}");
    // Another node reads the same organisations from it.
    let mut other = replica::Replica::default();
    other.merge_extract(extract);
    let find = |replica: &replica::Replica| {
        let routing = replica.routing().expect("it is read");
        let organisations = routing.organisations.as_ref().expect("there are some");
        organisations.find(&model::key::Digest::of(KEY.as_bytes())).cloned()
    };
    let organisation = find(&replica).expect("the key is known");
    assert_eq!(organisation.name.as_str(), "mairie");
    assert_eq!(find(&other), Some(organisation));
}

#[test]
fn no_fault_of_a_configuration_repeats_what_may_be_a_key() {
    let broken = [
        version_with_organisation(7).replace(r#"["marked-key-9f3a7c"]"#, r#""marked-key-9f3a7c""#),
        version_with_organisation(7).replace(r#","rate_per_s"]"#, "]"),
        version_with_organisation(7).replace("3.5", r#""marked-key-9f3a7c""#),
        version_with_organisation(7).replace(r#""mairie""#, r#"["marked-key-9f3a7c"]"#),
        format!(r#"{{"version":8,"routes":"{KEY}"}}"#),
        format!(r#"{{"version":8,"tenants":"{KEY}"}}"#),
        KEY.to_owned(),
    ];
    for text in broken {
        let mut replica = replica::Replica::default();
        let changes = replica.replace(page(vec![item("op/config", 1, Some(&text))], 1));
        assert_eq!(changes.faults.len(), 1, "{text}");
        assert!(!changes.faults[0].message.contains(KEY), "{}", changes.faults[0].message);
        assert!(!format!("{replica:?}").contains(KEY), "{text}");
    }
}

#[test]
fn a_node_s_malformed_entry_is_a_fault_and_keeps_the_node_registered() {
    let mut replica = replica::Replica::default();
    let changes = replica.replace(page(vec![item("nodes/n-1", 1, Some("nonsense"))], 1));
    assert!(changes.nodes);
    let faults: Vec<_> = changes.faults.iter().map(|f| (f.key.as_str(), f.revision)).collect();
    assert_eq!(faults, [("nodes/n-1", 1)]);
    let nodes: Vec<_> = replica.nodes().map(|n| (n.name.as_str(), n.member.is_some())).collect();
    assert_eq!(nodes, [("n-1", false)]);
}

#[test]
fn what_another_node_lacks_is_told_with_what_went() {
    let mut ahead = replica::Replica::default();
    ahead.replace(page(vec![item("servers/a", 1, Some(&entry(1)))], 1));
    let mut behind = ahead.clone();
    ahead.merge(page(vec![item("servers/b", 2, Some(&entry(2)))], 2));
    ahead.merge(page(vec![item("servers/a", 3, None)], 3));
    let extract = ahead.extract(behind.at());
    assert!(!extract.is_whole);
    behind.merge_extract(extract);
    assert_eq!((names(&behind), behind.at()), (names(&ahead), position(3)));
}

#[test]
fn a_node_as_far_as_before_a_whole_copy_is_told_what_changed() {
    let mut ahead = replica::Replica::default();
    ahead.replace(page(
        vec![item("servers/a", 1, Some(&entry(1))), item("servers/b", 2, Some(&entry(2)))],
        2,
    ));
    let (mut behind, mut between) = (ahead.clone(), ahead.clone());
    // Only this one sees an entry that comes and goes while the store drops its history.
    between.merge(page(vec![item("servers/c", 3, Some(&entry(3)))], 3));
    ahead.replace(page(
        vec![item("servers/b", 2, Some(&entry(2))), item("servers/d", 5, Some(&entry(4)))],
        6,
    ));
    let extract = ahead.extract(behind.at());
    assert!(!extract.is_whole);
    assert_eq!(extract.page.items.len(), 2);
    behind.merge_extract(extract);
    assert_eq!((names(&behind), behind.at()), (names(&ahead), position(6)));
    let extract = ahead.extract(between.at());
    assert!(extract.is_whole);
    between.merge_extract(extract);
    assert_eq!((names(&between), between.at()), (names(&ahead), position(6)));
}

#[test]
fn a_node_that_knows_nothing_is_told_everything() {
    let mut ahead = replica::Replica::default();
    ahead.replace(page(vec![item("servers/a", 1, Some(&entry(1)))], 9));
    let mut new = replica::Replica::default();
    new.merge_extract(ahead.extract(new.at()));
    assert!(new.is_complete());
    assert_eq!((names(&new), new.at()), (names(&ahead), position(9)));
}

quickcheck! {
    /// Copies that hear of the same history in pages of any size end alike.
    fn copies_converge(steps: Vec<(u8, bool)>, cuts: Vec<u8>) -> bool {
        let mut history = Vec::new();
        for (revision, (key, is_put)) in (1..).zip(&steps) {
            let key = format!("servers/{}", key % 4);
            let value = entry(u8::try_from(revision % 200).unwrap_or(0));
            history.push(item(&key, revision, is_put.then_some(value.as_str())));
        }
        let at = history.len() as u64;
        let mut whole = replica::Replica::default();
        whole.replace(page(Vec::new(), 0));
        whole.merge(page(history.clone(), at));
        let mut parts = replica::Replica::default();
        parts.replace(page(Vec::new(), 0));
        let mut from = 0;
        for cut in cuts.iter().map(|c| usize::from(*c) % 4 + 1) {
            let to = (from + cut).min(history.len());
            // Every page begins one change too early, as after a break.
            let early = from.saturating_sub(1);
            parts.merge(page(history[early..to].to_vec(), to as u64));
            from = to;
        }
        parts.merge(page(history[from..].to_vec(), at));
        names(&whole) == names(&parts) && whole.at() == parts.at()
    }
}
