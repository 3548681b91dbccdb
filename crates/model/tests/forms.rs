//! Tests of the serialized formats of declarations, changes, refusals and stored data against
//! fixtures.
//!
//! `declarations.rs` tests the messages of errors with file, line and field.

use std::collections;
use std::path;
use std::time::{Duration, SystemTime};

use model::acceptance;
use model::change;
use model::check;
use model::document;
use model::epoch;
use model::fraction;
use model::id;
use model::member;
use model::refusal;
use model::resource;
use model::revision;
use model::route;
use model::snapshot;
use model::table;
use model::verdict;

const DECLARATIONS: &str = include_str!("forms/declarations.yaml");

fn fixture(name: &str) -> String {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/forms").join(name);
    std::fs::read_to_string(file).expect("the fixture exists")
}

/// Asserts that a text is identical to a fixture.
fn assert_matches_fixture(name: &str, text: &str) {
    assert_eq!(text, fixture(name), "{name}");
}

fn declarations() -> Vec<resource::Resource> {
    document::read_resources("declarations.yaml", DECLARATIONS)
        .expect("the declarations are well-formed")
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).expect("it can be serialized") + "\n"
}

/// Returns a configuration with all declarations of the fixture, as it is stored.
fn stored_configuration() -> snapshot::Snapshot {
    let steps = declarations().into_iter().map(|resource| change::Step::Put { resource }).collect();
    let change = change::Change { operation: "first".to_owned(), expected: None, steps };
    let context = check::context::Context::at(SystemTime::UNIX_EPOCH);
    acceptance::apply(&snapshot::Snapshot::default(), &change, &context)
        .expect("the declarations are accepted")
}

#[test]
fn the_fixture_has_declarations_of_every_kind() {
    let kinds: collections::BTreeSet<resource::Kind> =
        declarations().iter().map(resource::Resource::kind).collect();
    assert_eq!(kinds, resource::Kind::ALL.into());
    let names = resource::Kind::ALL.map(|kind| (kind.as_str(), kind.plural()));
    let expected = [
        ("service", "services"),
        ("place", "places"),
        ("cap", "caps"),
        ("drain", "drains"),
        ("route", "routes"),
        ("evacuation", "evacuations"),
        ("organisation", "organisations"),
    ];
    assert_eq!(names, expected);
}

#[test]
fn declarations_are_parsed_with_their_defaults() {
    let declarations = declarations();
    let resource::Resource::Service(minimal) = &declarations[1] else { panic!("a service") };
    assert_eq!(
        (minimal.deadline, minimal.hold),
        (Duration::from_secs(5), Duration::from_millis(500))
    );
    assert_eq!(minimal.upstreams[0].connections, 400);
    let resource::Resource::Cap(cap) = &declarations[3] else { panic!("a cap") };
    assert_eq!(cap.share, fraction::Fraction(125_000));
    assert_eq!(cap.lost_share, Some(fraction::Fraction::from_percent(50)));
    let resource::Resource::Route(writes) = &declarations[8] else { panic!("a route") };
    assert_eq!(writes.repetition, route::Kind::NonIdempotent);
    assert_eq!((writes.priority, writes.max_attempts, writes.is_sticky), (0, 1, false));
    assert_eq!(writes.parts[0].weight, 1);
}

#[test]
fn declarations_are_written_as_yaml() {
    let write = |r: &resource::Resource| serde_yaml_ng::to_string(r).expect("it can be serialized");
    let text: String = declarations().iter().map(|r| format!("---\n{}", write(r))).collect();
    assert_matches_fixture("written.yaml", &text);
    let parsed = document::read_resources("written.yaml", &text).expect("it can be parsed");
    assert_eq!(parsed, declarations());
}

#[test]
fn declarations_are_written_as_json() {
    let text = json(&declarations());
    assert_matches_fixture("written.json", &text);
    let parsed: Vec<resource::Resource> = serde_json::from_str(&text).expect("it can be parsed");
    assert_eq!(parsed, declarations());
}

#[test]
fn a_configuration_is_stored_as_json() {
    let text = json(&stored_configuration());
    assert_matches_fixture("configuration.json", &text);
    let parsed: snapshot::Snapshot = serde_json::from_str(&text).expect("it can be parsed");
    assert_eq!(json(&parsed), text);
}

#[test]
fn a_table_is_stored_as_json() {
    let text = fixture("table.json");
    let table: table::Table = serde_json::from_str(&text).expect("it can be parsed");
    assert_eq!(json(&table), text);
    let node = id::Node::new("dakar-0");
    assert_eq!(table.listed[0].key, member::Key { node, incarnation: 7 });
    assert_eq!((table.epoch, table.departed[0].last), (epoch::Epoch(3), epoch::Epoch(2)));
}

#[test]
fn changes_and_refusals_are_json() {
    let place = declarations().swap_remove(2);
    let name = "rewiring".to_owned();
    let change = change::Change {
        operation: "a1".to_owned(),
        expected: Some(revision::Revision(4)),
        steps: vec![
            change::Step::Put { resource: place },
            change::Step::Delete { kind: resource::Kind::Drain, name },
        ],
    };
    let problem = refusal::Problem {
        resource: "cap pace".to_owned(),
        field: "service".to_owned(),
        message: "expected a declared service".to_owned(),
    };
    let refusals = [
        refusal::Refusal::Invalid { problems: vec![problem] },
        refusal::Refusal::Conflict {
            expected: revision::Revision(4),
            found: revision::Revision(5),
        },
        refusal::Refusal::Missing { resource: "drain rewiring".to_owned() },
    ];
    assert_matches_fixture("changes.json", &json(&(&change, &refusals)));
    let lines: Vec<String> = refusals.iter().map(ToString::to_string).collect();
    let expected = [
        "cap pace: service: expected a declared service",
        "expected revision 4, but revision 5 stands",
        "drain rewiring does not exist",
    ];
    assert_eq!(lines, expected);
    let parsed: (change::Change, Vec<refusal::Refusal>) =
        serde_json::from_str(&fixture("changes.json")).expect("it can be parsed");
    assert_eq!(parsed, (change, refusals.to_vec()));
}

#[test]
fn unknown_fields_are_refused_by_line_and_field() {
    let documents = DECLARATIONS.split("---\n");
    let errors: Vec<String> = documents
        .map(|document| format!("{document}colour: blue\n"))
        .map(|text| document::read_resources("d.yaml", &text).expect_err("refused").to_string())
        .collect();
    assert_matches_fixture("unknown-fields.txt", &(errors.join("\n") + "\n"));
}

#[test]
fn verdicts_and_reasons_have_stable_names() {
    let verdicts = [verdict::Verdict::NotRun, verdict::Verdict::MayHaveRun];
    assert_eq!(verdicts.map(verdict::Verdict::as_str), ["not-run", "may-have-run"]);
    let names = [
        "unknown-host",
        "keys-not-checked",
        "bad-request",
        "not-ready",
        "no-region",
        "not-home",
        "busy",
        "full",
        "deadline",
        "cancelled",
        "unreachable",
        "shed",
        "broken",
        "ticket",
        "running",
    ];
    for name in names {
        assert_eq!(verdict::Reason::parse(name).as_str(), name);
    }
}
