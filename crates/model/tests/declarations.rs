//! Tests of parsing and validating declarations: errors name the file, line and field, and the
//! rules cover dependencies between resources.

use std::time::{Duration, SystemTime};

use model::acceptance;
use model::change::{Change, Step};
use model::check::context::{Context, SlotUsage};
use model::document;
use model::id;
use model::refusal::Refusal;
use model::resource::Kind;
use model::revision::Revision;
use model::snapshot::Snapshot;

const EXAMPLES: [&str; 2] = ["diagne", "taf"];

fn example(name: &str) -> Snapshot {
    let folder = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut steps = Vec::new();
    for file in ["services.yaml", "places.yaml", "caps.yaml", "routes.yaml"] {
        let text =
            std::fs::read_to_string(format!("{folder}/{file}")).expect("the example is there");
        let resources = document::read_resources(file, &text).expect("the example is valid");
        steps.extend(resources.into_iter().map(|resource| Step::Put { resource }));
    }
    let change = Change { operation: "start".to_owned(), expected: None, steps };
    let empty = Snapshot::default();
    acceptance::apply(&empty, &change, &Context::at(SystemTime::now()))
        .expect("the example is accepted")
}

fn put_change(kind: Kind, text: &str) -> Change {
    let resource = document::read_kind("test", kind, text).expect("the declaration is well-formed");
    Change { operation: text.to_owned(), expected: None, steps: vec![Step::Put { resource }] }
}

fn problems(snapshot: &Snapshot, change: &Change, context: &Context) -> String {
    match acceptance::apply(snapshot, change, context) {
        Err(Refusal::Invalid { problems }) => {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn drain_change(target: &str, after: Duration, now: SystemTime) -> Change {
    let start = humantime::format_rfc3339(now + after);
    let end = humantime::format_rfc3339(now + after + Duration::from_secs(600));
    put_change(
        Kind::Drain,
        &format!("name: plan\ntarget: {{ {target} }}\nstart: {start}\nend: {end}\n"),
    )
}

#[test]
fn applying_an_example_again_keeps_the_revisions_of_its_resources() {
    for name in EXAMPLES {
        let first = example(name);
        let steps: Vec<Step> =
            first.resources().into_iter().map(|(_, resource)| Step::Put { resource }).collect();
        let again = Change { operation: "again".to_owned(), expected: None, steps };
        let second = acceptance::apply(&first, &again, &Context::at(SystemTime::now()))
            .expect("the change is accepted");
        assert_eq!(second.revision, Revision(2));
        assert_eq!(second.services, first.services, "revisions of unchanged resources");
    }
}

#[test]
fn an_error_names_its_line_in_a_file_of_several_documents() {
    let text = "kind: cap\nname: a\nservice: s\nshare: 5\nwindow: 10s\n---\n\
                kind: cap\nname: b\nservice: s\nshare: 500\nwindow: 10s\n";
    let error = document::read_resources("caps.yaml", text).expect_err("500 % is out of range");
    assert_eq!(error.to_string(), "caps.yaml:10: share: 500 is not a percentage from 0 to 100");
    let error = document::read_resources("x.yaml", "kind: cake\nname: a\n")
        .expect_err("the kind is unknown");
    assert_eq!(
        error.to_string(),
        "x.yaml:1: kind: `cake` is none of service, place, cap, drain, route, evacuation, organisation"
    );
}

#[test]
fn a_drain_that_starts_sooner_than_the_cap_allows_is_refused_with_the_time_needed() {
    let snapshot = example("diagne");
    let now = SystemTime::now();
    let context = Context::at(now);
    let soon = drain_change("region: dakar", Duration::from_secs(2), now);
    let message = problems(&snapshot, &soon, &context);
    assert!(message.contains("moves 25% in 1s"), "{message}");
    assert!(message.contains("out of region dakar takes 4s, but the start is"), "{message}");
    let later = drain_change("region: dakar", Duration::from_secs(5), now);
    acceptance::apply(&snapshot, &later, &context).expect("four seconds are enough");
}

#[test]
fn overlapping_drains_that_leave_too_few_slots_are_refused() {
    let snapshot = example("diagne");
    let now = SystemTime::now();
    let used = SlotUsage::from([(id::Region::new("dakar"), 30), (id::Region::new("thies"), 30)]);
    let context = Context { wall: now, in_use: [(id::Service::new("catalogue"), used)].into() };
    let later = Duration::from_secs(60);
    let one = drain_change("region: ziguinchor", later, now);
    let one = acceptance::apply(&snapshot, &one, &context).expect("84 slots are left for 60");
    let mut two = drain_change("region: thies", later, now);
    if let Step::Put { resource: model::resource::Resource::Drain(drain) } = &mut two.steps[0] {
        drain.name = id::Drain::new("other");
    }
    let message = problems(&one, &two, &context);
    assert!(message.contains("120 slots, 78 would be drained"), "{message}");
}

#[test]
fn invalid_and_stale_changes_are_refused() {
    let snapshot = example("taf");
    let cap = "name: other\nservice: rhestr\nshare: 5\nwindow: 10s\n";
    let message = problems(&snapshot, &put_change(Kind::Cap, cap), &Context::at(SystemTime::now()));
    assert!(message.contains("binds the same service"), "{message}");
    let mut stale = put_change(Kind::Place, "name: p\nblocks: [\"10.9.0.0/16\"]\nlinks: []\n");
    stale.expected = Some(Revision(9));
    let conflict = Refusal::Conflict { expected: Revision(9), found: Revision(1) };
    assert_eq!(
        acceptance::apply(&snapshot, &stale, &Context::at(SystemTime::now())),
        Err(conflict)
    );
}

const ROUTE: &str = "name: reads\nhost: find.example\nprefix: /items/\nrepetition: idempotent\n\
                     timeout: 800ms\ntarget_latency: 300ms\nparts: [{ service: catalogue }]\n";

#[test]
fn a_route_and_an_evacuation_can_be_created_and_deleted() {
    let now = Context::at(SystemTime::now());
    let first = example("diagne");
    let second = acceptance::apply(&first, &put_change(Kind::Route, ROUTE), &now)
        .expect("the change is accepted");
    let evacuation = put_change(Kind::Evacuation, "name: works\nhall: dakar-1\n");
    let third = acceptance::apply(&second, &evacuation, &now).expect("the change is accepted");
    assert!(third.resource(Kind::Route, "reads").is_some());
    assert!(third.resource(Kind::Evacuation, "works").is_some());
    let steps = vec![Step::Delete { kind: Kind::Evacuation, name: "works".to_owned() }];
    let delete = Change { operation: "back".to_owned(), expected: None, steps };
    let fourth = acceptance::apply(&third, &delete, &now).expect("the change is accepted");
    assert!(fourth.resource(Kind::Evacuation, "works").is_none());
}

#[test]
fn invalid_routes_are_refused_by_field() {
    let now = Context::at(SystemTime::now());
    let current = acceptance::apply(&example("diagne"), &put_change(Kind::Route, ROUTE), &now)
        .expect("the change is accepted");
    let invalid = [
        (ROUTE.replace("/items/", "items"), "prefix: expected to begin and end with `/`"),
        (ROUTE.replace("find.example", "a:80"), "host: expected a host name without port"),
        (ROUTE.replace("800ms", "61s"), "timeout: expected more than 0s and at most 60s"),
        (ROUTE.replace("300ms", "900ms"), "target_latency: expected more than 0s, at most"),
        (ROUTE.replace("catalogue", "nothing"), "parts[0].service: expected a declared service"),
        (ROUTE.replace("[{ service: catalogue }]", "[]"), "parts: expected a part with a weight"),
        (format!("{ROUTE}max_attempts: 9\n"), "max_attempts: expected 1 to 8"),
        (format!("{ROUTE}home_regions: [mars]\n"), "home_regions[0]: expected a region that holds"),
        (ROUTE.replace("reads", "again"), "prefix: route again has the same host and prefix"),
    ];
    for (text, message) in invalid {
        let found = problems(&current, &put_change(Kind::Route, &text), &now);
        assert!(found.contains(message), "{found}");
    }
    let nowhere = put_change(Kind::Evacuation, "name: works\nhall: nowhere\n");
    assert!(problems(&current, &nowhere, &now).contains("hall: expected a hall that holds"));
}

const DIGEST: &str = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

fn organisation(more: &str) -> String {
    format!("name: mairie\nkeys: [\"{DIGEST}\"]\n{more}")
}

#[test]
fn an_organisation_can_be_created_and_deleted() {
    let now = Context::at(SystemTime::now());
    let text = organisation("priority: 1\nquota: { rate: 2.5 }\nhome_regions: [dakar]\n");
    let first = example("diagne");
    let second = acceptance::apply(&first, &put_change(Kind::Organisation, &text), &now)
        .expect("the change is accepted");
    assert!(second.resource(Kind::Organisation, "mairie").is_some());
    let steps = vec![Step::Delete { kind: Kind::Organisation, name: "mairie".to_owned() }];
    let delete = Change { operation: "back".to_owned(), expected: None, steps };
    let third = acceptance::apply(&second, &delete, &now).expect("the change is accepted");
    assert!(third.resource(Kind::Organisation, "mairie").is_none());
}

#[test]
fn invalid_organisations_are_refused_by_field() {
    let now = Context::at(SystemTime::now());
    let current = put_change(Kind::Organisation, &organisation(""));
    let current =
        acceptance::apply(&example("diagne"), &current, &now).expect("the change is accepted");
    let invalid = [
        (organisation("quota: { rate: 0 }\n"), "quota.rate: expected more than 0; leave out"),
        (organisation("quota: { rate: -1 }\n"), "quota.rate: expected more than 0"),
        (organisation("quota: { rate: 1, burst: -1 }\n"), "quota.burst: expected 0 or more"),
        (organisation("home_regions: [mars]\n"), "home_regions[0]: expected a region that holds"),
        (organisation("").replace("mairie", "twin"), "keys[0]: organisation mairie has the same"),
        (organisation("").replace("mairie", "a b"), "name: expected 1 to 63 letters"),
    ];
    for (text, message) in invalid {
        let found = problems(&current, &put_change(Kind::Organisation, &text), &now);
        assert!(found.contains(message), "{found}");
    }
}

#[test]
fn malformed_organisations_are_refused_by_line_without_repeating_the_key() {
    let invalid = [
        (organisation("colour: 1\n"), "unknown field `colour`"),
        (organisation("quota: { burst: 5 }\n"), "missing field `rate`"),
        (organisation("").replace(DIGEST, "marked-plain-key"), "expected the digest of a key"),
        (organisation("").replace("ba7816", "marked"), "expected the digest of a key"),
    ];
    for (text, message) in invalid {
        let text = format!("kind: organisation\n{text}");
        let error =
            document::read_resources("o.yaml", &text).expect_err("the declaration is malformed");
        let error = error.to_string();
        assert!(error.starts_with("o.yaml:") && error.contains(message), "{error}");
        assert!(!error.contains("marked"), "{error}");
    }
}
