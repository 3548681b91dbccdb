//! Tests of which differences between requests change their fingerprints.

use std::net;

use model::fingerprint::{BODY_BYTES, CallerIdentity, Content, Fingerprint, RequestContent, Scope};

const CONTENT: RequestContent<'static> = RequestContent {
    method: "GET",
    host: "site.example",
    target: "/read/a?b=c",
    organisation: Some("bus-depot"),
    body: b"body",
    length: Some(4),
};

fn sender(last: u8) -> CallerIdentity {
    CallerIdentity { address: net::IpAddr::V4(net::Ipv4Addr::new(10, 0, 0, last)), object: Some(7) }
}

#[test]
fn the_same_request_of_the_same_caller_has_the_same_fingerprint() {
    assert_eq!(Fingerprint::of(&CONTENT, &sender(1)), Fingerprint::of(&CONTENT, &sender(1)));
}

#[test]
fn any_difference_in_the_content_changes_its_hash() {
    let others = [
        RequestContent { method: "POST", ..CONTENT },
        RequestContent { host: "other.example", ..CONTENT },
        RequestContent { target: "/read/a?b=d", ..CONTENT },
        RequestContent { organisation: Some("taxis"), ..CONTENT },
        RequestContent { organisation: None, ..CONTENT },
        RequestContent { body: b"bodz", ..CONTENT },
        RequestContent { length: Some(5), ..CONTENT },
        // The concatenation of host and target is the same.
        RequestContent { host: "site.example/read", target: "/a?b=c", ..CONTENT },
    ];
    let content = Fingerprint::of(&CONTENT, &sender(1)).content;
    for other in others {
        assert_ne!(Fingerprint::of(&other, &sender(1)).content, content, "{other:?}");
    }
}

#[test]
fn the_same_request_of_different_callers_differs_only_in_the_caller_hash() {
    let (first, second) =
        (Fingerprint::of(&CONTENT, &sender(1)), Fingerprint::of(&CONTENT, &sender(2)));
    assert_eq!(first.content, second.content);
    assert_ne!(first.caller, second.caller);
    let without_object = CallerIdentity { object: None, ..sender(1) };
    assert_ne!(Fingerprint::of(&CONTENT, &without_object).caller, first.caller);
}

#[test]
fn only_the_start_of_a_long_body_is_hashed() {
    let (long, longer) = (vec![1; BODY_BYTES], [vec![1; BODY_BYTES], vec![2]].concat());
    let fingerprint = |body| Fingerprint::of(&RequestContent { body, ..CONTENT }, &sender(1));
    assert_eq!(fingerprint(&long), fingerprint(&longer));
    let other = [vec![1; BODY_BYTES - 1], vec![2]].concat();
    assert_ne!(fingerprint(&long), fingerprint(&other));
}

#[test]
fn a_scope_can_be_parsed_from_its_text() {
    let one_caller = Scope::from(Fingerprint::of(&CONTENT, &sender(1)));
    let any_caller = Scope { caller: None, ..one_caller };
    for scope in [one_caller, any_caller] {
        assert_eq!(Scope::parse(&scope.to_string()), Some(scope));
    }
    let text = one_caller.to_string();
    for invalid in ["", "-any", "any", &text[1..], &text[..text.len() - 1], &text.replace('-', "+")]
    {
        assert_eq!(Scope::parse(invalid), None, "{invalid}");
    }
    let with_sign = format!("+{}", &text[1..]);
    assert_eq!(Scope::parse(&with_sign), None, "{with_sign}");
    assert_eq!(Content::from_bytes(&[0; 15]), None);
}
