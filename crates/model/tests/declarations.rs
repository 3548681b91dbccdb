//! Declarations: faults name file, line and field; rules hold across resources.

use std::time::{Duration, SystemTime};

use model::acceptance;
use model::change::{Change, Step};
use model::check::facts::{Facts, Use};
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
    acceptance::apply(&empty, &change, &Facts::at(SystemTime::now()))
        .expect("the example is accepted")
}

fn put(kind: Kind, text: &str) -> Change {
    let resource = document::read_kind("test", kind, text).expect("the declaration is well-formed");
    Change { operation: text.to_owned(), expected: None, steps: vec![Step::Put { resource }] }
}

fn problems(snapshot: &Snapshot, change: &Change, facts: &Facts) -> String {
    match acceptance::apply(snapshot, change, facts) {
        Err(Refusal::Invalid { problems }) => {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn drain(target: &str, after: Duration, now: SystemTime) -> Change {
    let at = |time| humantime::format_rfc3339(time);
    let (start, end) = (at(now + after), at(now + after + Duration::from_secs(600)));
    put(Kind::Drain, &format!("name: plan\ntarget: {{ {target} }}\nstart: {start}\nend: {end}\n"))
}

#[test]
fn examples_are_accepted_and_stay_the_same_when_applied_again() {
    for name in EXAMPLES {
        let first = example(name);
        let steps: Vec<Step> =
            first.resources().into_iter().map(|(_, resource)| Step::Put { resource }).collect();
        let again = Change { operation: "again".to_owned(), expected: None, steps };
        let second = acceptance::apply(&first, &again, &Facts::at(SystemTime::now()))
            .expect("it is accepted");
        assert_eq!(second.revision, Revision(2));
        assert_eq!(second.services, first.services, "nothing changed, so no resource's revision");
    }
}

#[test]
fn a_fault_names_its_line_in_a_file_of_several_documents() {
    let text = "kind: cap\nname: a\nservice: s\nshare: 5\nwindow: 10s\n---\n\
                kind: cap\nname: b\nservice: s\nshare: 500\nwindow: 10s\n";
    let fault = document::read_resources("caps.yaml", text).expect_err("500 % is too much");
    assert_eq!(fault.to_string(), "caps.yaml:10: share: 500 is not a percentage from 0 to 100");
    let fault = document::read_resources("x.yaml", "kind: cake\nname: a\n").expect_err("no kind");
    assert_eq!(
        fault.to_string(),
        "x.yaml:1: kind: `cake` is none of service, place, cap, drain, route, evacuation, organisation"
    );
}

#[test]
fn a_drain_that_the_cap_cannot_make_in_time_is_refused_with_its_arithmetic() {
    let snapshot = example("diagne");
    let now = SystemTime::now();
    let facts = Facts::at(now);
    let soon = drain("region: dakar", Duration::from_secs(2), now);
    let message = problems(&snapshot, &soon, &facts);
    assert!(message.contains("moves 25% in 1s"), "{message}");
    assert!(message.contains("out of region dakar takes 4s, but the start is"), "{message}");
    let later = drain("region: dakar", Duration::from_secs(5), now);
    acceptance::apply(&snapshot, &later, &facts).expect("four seconds are enough");
}

#[test]
fn drains_that_leave_too_little_together_are_refused() {
    let snapshot = example("diagne");
    let now = SystemTime::now();
    let used = Use::from([(id::Region::new("dakar"), 30), (id::Region::new("thies"), 30)]);
    let facts = Facts { wall: now, in_use: [(id::Service::new("catalogue"), used)].into() };
    let later = Duration::from_secs(60);
    let one = drain("region: ziguinchor", later, now);
    let one = acceptance::apply(&snapshot, &one, &facts).expect("84 slots are left for 60");
    let mut two = drain("region: thies", later, now);
    if let Step::Put { resource: model::resource::Resource::Drain(drain) } = &mut two.steps[0] {
        drain.name = id::Drain::new("other");
    }
    let message = problems(&one, &two, &facts);
    assert!(message.contains("120 slots, 78 would be drained"), "{message}");
}

#[test]
fn a_change_is_all_or_nothing_and_knows_its_base() {
    let snapshot = example("taf");
    let cap = "name: other\nservice: rhestr\nshare: 5\nwindow: 10s\n";
    let message = problems(&snapshot, &put(Kind::Cap, cap), &Facts::at(SystemTime::now()));
    assert!(message.contains("cap other binds the same service") || message.contains("binds"));
    let mut stale = put(Kind::Place, "name: p\nblocks: [\"10.9.0.0/16\"]\nlinks: []\n");
    stale.expected = Some(Revision(9));
    let conflict = Refusal::Conflict { expected: Revision(9), found: Revision(1) };
    assert_eq!(acceptance::apply(&snapshot, &stale, &Facts::at(SystemTime::now())), Err(conflict));
}

const ROUTE: &str = "name: reads\nhost: find.example\nprefix: /items/\nrepetition: idempotent\n\
                     timeout: 800ms\ntarget_latency: 300ms\nparts: [{ service: catalogue }]\n";

#[test]
fn a_route_and_an_evacuation_are_accepted_and_found_again() {
    let now = Facts::at(SystemTime::now());
    let first = example("diagne");
    let second = acceptance::apply(&first, &put(Kind::Route, ROUTE), &now).expect("it is accepted");
    let evacuation = put(Kind::Evacuation, "name: works\nhall: dakar-1\n");
    let third = acceptance::apply(&second, &evacuation, &now).expect("it is accepted");
    assert!(third.resource(Kind::Route, "reads").is_some());
    assert!(third.resource(Kind::Evacuation, "works").is_some());
    let steps = vec![Step::Delete { kind: Kind::Evacuation, name: "works".to_owned() }];
    let delete = Change { operation: "back".to_owned(), expected: None, steps };
    let fourth = acceptance::apply(&third, &delete, &now).expect("it is accepted");
    assert!(fourth.resource(Kind::Evacuation, "works").is_none());
}

#[test]
fn wrong_routes_are_refused_by_field() {
    let now = Facts::at(SystemTime::now());
    let standing =
        acceptance::apply(&example("diagne"), &put(Kind::Route, ROUTE), &now).expect("accepted");
    let wrong = [
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
    for (text, message) in wrong {
        let found = problems(&standing, &put(Kind::Route, &text), &now);
        assert!(found.contains(message), "{found}");
    }
    let nowhere = put(Kind::Evacuation, "name: works\nhall: nowhere\n");
    assert!(problems(&standing, &nowhere, &now).contains("hall: expected a hall that holds"));
}

const DIGEST: &str = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

fn organisation(more: &str) -> String {
    format!("name: mairie\nkeys: [\"{DIGEST}\"]\n{more}")
}

#[test]
fn an_organisation_is_accepted_and_found_again() {
    let now = Facts::at(SystemTime::now());
    let text = organisation("priority: 1\nquota: { rate: 2.5 }\nhome_regions: [dakar]\n");
    let first = example("diagne");
    let second =
        acceptance::apply(&first, &put(Kind::Organisation, &text), &now).expect("accepted");
    assert!(second.resource(Kind::Organisation, "mairie").is_some());
    let steps = vec![Step::Delete { kind: Kind::Organisation, name: "mairie".to_owned() }];
    let delete = Change { operation: "back".to_owned(), expected: None, steps };
    let third = acceptance::apply(&second, &delete, &now).expect("accepted");
    assert!(third.resource(Kind::Organisation, "mairie").is_none());
}

#[test]
fn wrong_organisations_are_refused_by_field() {
    let now = Facts::at(SystemTime::now());
    let standing = put(Kind::Organisation, &organisation(""));
    let standing = acceptance::apply(&example("diagne"), &standing, &now).expect("accepted");
    let wrong = [
        (organisation("quota: { rate: 0 }\n"), "quota.rate: expected more than 0; leave out"),
        (organisation("quota: { rate: -1 }\n"), "quota.rate: expected more than 0"),
        (organisation("quota: { rate: 1, burst: -1 }\n"), "quota.burst: expected 0 or more"),
        (organisation("home_regions: [mars]\n"), "home_regions[0]: expected a region that holds"),
        (organisation("").replace("mairie", "twin"), "keys[0]: organisation mairie has the same"),
        (organisation("").replace("mairie", "a b"), "name: expected 1 to 63 letters"),
    ];
    for (text, message) in wrong {
        let found = problems(&standing, &put(Kind::Organisation, &text), &now);
        assert!(found.contains(message), "{found}");
    }
}

#[test]
fn malformed_organisations_are_refused_by_line_and_no_key_is_repeated() {
    let wrong = [
        (organisation("colour: 1\n"), "unknown field `colour`"),
        (organisation("quota: { burst: 5 }\n"), "missing field `rate`"),
        (organisation("").replace(DIGEST, "marked-plain-key"), "expected the digest of a key"),
        (organisation("").replace("ba7816", "marked"), "expected the digest of a key"),
    ];
    for (text, message) in wrong {
        let text = format!("kind: organisation\n{text}");
        let fault = document::read_resources("o.yaml", &text).expect_err("it is malformed");
        let fault = fault.to_string();
        assert!(fault.starts_with("o.yaml:") && fault.contains(message), "{fault}");
        assert!(!fault.contains("marked"), "{fault}");
    }
}
