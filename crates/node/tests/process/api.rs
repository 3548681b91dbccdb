//! Operators: resources, revisions, races, refusals, access and watches.

use http::Request;
use http_body_util::{BodyExt as _, Full};
use serde_json::{Value, json};

use crate::calls;
use crate::rig;

const PLACE: &str = r#"{"name": "quai", "blocks": ["192.0.2.0/24"],
                        "links": [{"region": "dakar", "delay": "3ms"}]}"#;

#[tokio::test(flavor = "multi_thread")]
async fn operators_declare_and_see_what_becomes_of_it() {
    let rig = rig::Rig::start(&["dakar"], 2).await;
    only_tokens_let_in(&rig).await;
    resources_are_put_got_and_deleted(&rig).await;
    races_have_one_winner(&rig).await;
    wrong_declarations_are_refused_by_field(&rig).await;
    a_watch_tells_changes(&rig).await;
    organisations_are_declared_and_close_this_role(&rig).await;
    a_lost_answer_is_found_again(&rig).await;
    an_outage_is_told_as_such(&rig).await;
}

async fn only_tokens_let_in(rig: &rig::Rig) {
    let (status, _) = rig.operate_with("wrong", "GET", "/v1/services", "", &[]).await;
    assert_eq!(status, 401);
    let (status, _) = rig.operate_with(rig::READER, "GET", "/v1/services", "", &[]).await;
    assert_eq!(status, 200);
    let (status, _) = rig.operate_with(rig::READER, "DELETE", "/v1/services/x", "", &[]).await;
    assert_eq!(status, 403);
}

async fn resources_are_put_got_and_deleted(rig: &rig::Rig) {
    let (status, put) = rig.operate("PUT", "/v1/places/quai", PLACE).await;
    assert_eq!((status, &put["state"]), (200, &json!("accepted")), "{put}");
    let (status, got) = rig.operate("GET", "/v1/places/quai", "").await;
    assert_eq!(status, 200);
    assert_eq!(got["revision"], put["revision"]);
    assert_eq!(got["resource"]["links"][0]["delay"], "3ms");
    let yaml = "name: quai\nblocks: [\"192.0.2.0/24\"]\nlinks: [{ region: dakar, delay: 4ms }]\n";
    let (status, _) = rig.operate("PUT", "/v1/places/quai", yaml).await;
    assert_eq!(status, 200);
    let (status, _) = rig.operate("DELETE", "/v1/places/quai", "").await;
    assert_eq!(status, 200);
    let (status, _) = rig.operate("GET", "/v1/places/quai", "").await;
    assert_eq!(status, 404);
    let (status, _) = rig.operate("DELETE", "/v1/places/quai", "").await;
    assert_eq!(status, 404);
    let (status, _) = rig.operate("GET", "/v1/cakes", "").await;
    assert_eq!(status, 404);
}

async fn races_have_one_winner(rig: &rig::Rig) {
    let list = rig.operate("GET", "/v1/places", "").await.1;
    let tag = format!("\"{}\"", list["revision"]);
    let headers = [("if-match", tag.as_str())];
    let put = || rig.operate_with(rig::TOKEN, "PUT", "/v1/places/quai", PLACE, &headers);
    let (one, other) = tokio::join!(put(), put());
    let mut statuses = [one.0, other.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{one:?} {other:?}");
    let lost = if one.0 == 409 { one.1 } else { other.1 };
    assert_eq!(lost["refusal"]["refused"], "conflict", "{lost}");
}

async fn wrong_declarations_are_refused_by_field(rig: &rig::Rig) {
    let unknown = r#"{"name": "quai", "blocks": ["192.0.2.0/24"], "links": [], "colour": 1}"#;
    let (status, error) = rig.operate("PUT", "/v1/places/quai", unknown).await;
    assert_eq!(status, 400);
    assert!(error["error"].as_str().is_some_and(|e| e.contains("colour")), "{error}");
    let cap = r#"{"name": "pace", "service": "nothing", "share": 10, "window": "10s"}"#;
    let (status, refused) = rig.operate("PUT", "/v1/caps/pace", cap).await;
    assert_eq!(status, 422);
    let problem = &refused["refusal"]["problems"][0];
    assert_eq!((&problem["resource"], &problem["field"]), (&json!("cap pace"), &json!("service")));
    let drain = r#"{"name": "all", "target": {"region": "dakar"},
                    "start": "2037-01-01T00:00:00Z", "end": "2037-01-02T00:00:00Z"}"#;
    let (status, refused) = rig.operate("PUT", "/v1/drains/all", drain).await;
    assert_eq!(status, 422);
    let message = refused["refusal"]["problems"][0]["message"].as_str().unwrap_or_default();
    assert!(message.contains("12 slots, 12 would be drained"), "{message}");
}

async fn organisations_are_declared_and_close_this_role(rig: &rig::Rig) {
    let digest = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    let plain = r#"{"name": "mairie", "keys": ["marked-key"]}"#;
    let (status, error) = rig.operate("PUT", "/v1/organisations/mairie", plain).await;
    assert_eq!((status, error.to_string().contains("marked")), (400, false), "{error}");
    let organisation = json!({ "name": "mairie", "keys": [digest], "quota": { "rate": 5 } });
    let text = organisation.to_string();
    let (status, put) = rig.operate("PUT", "/v1/organisations/mairie", &text).await;
    assert_eq!(status, 200, "{put}");
    let (status, got) = rig.operate("GET", "/v1/organisations/mairie", "").await;
    assert_eq!((status, &got["resource"]["keys"][0]), (200, &json!(digest)));
    let began = std::time::Instant::now();
    while rig.operate("GET", "/v1/organisations/mairie", "").await.1["in_force"] != json!(true) {
        assert!(began.elapsed() < std::time::Duration::from_secs(20), "it is not in force");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    calls::organisations_are_refused(rig).await;
    let (status, _) = rig.operate("DELETE", "/v1/organisations/mairie", "").await;
    assert_eq!(status, 200);
}

async fn a_watch_tells_changes(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    let request = Request::get(format!("http://{}/v1/places?watch=true", node.operators))
        .header("authorization", format!("Bearer {}", rig::TOKEN))
        .body(Full::default())
        .expect("the request is valid");
    let mut stream = rig.http.open(request).await.expect("the node answers").into_body();
    let mut text = String::new();
    let delete = rig.operate("DELETE", "/v1/places/quai", "");
    let read = async {
        while !text.contains("\"delete\"") {
            let frame = stream.frame().await.expect("the watch goes on").expect("it is whole");
            text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or_default()));
        }
    };
    let ((status, _), ()) = tokio::join!(delete, read);
    assert_eq!(status, 200);
    let first: Value = serde_json::from_str(text.lines().next().expect("a line")).expect("JSON");
    assert_eq!(first["type"], "put");
    assert_eq!(first["item"]["resource"]["name"], "quai");
}

async fn a_lost_answer_is_found_again(rig: &rig::Rig) {
    let before = rig.operate("GET", "/v1/places", "").await.1["revision"].as_u64();
    rig.store.faults.lose_answers(1);
    let headers = [("yokespoke-operation", "lost-one")];
    let (status, outcome) =
        rig.operate_with(rig::TOKEN, "PUT", "/v1/places/quai", PLACE, &headers).await;
    assert_eq!((status, &outcome["state"]), (200, &json!("accepted")), "{outcome}");
    // It was written once, and is known by its operation.
    assert_eq!(outcome["revision"].as_u64(), before.map(|revision| revision + 1));
    let (status, operation) = rig.operate("GET", "/v1/operations/lost-one", "").await;
    assert_eq!((status, &operation["revision"]), (200, &outcome["revision"]));
    let (status, _) = rig.operate("GET", "/v1/operations/never", "").await;
    assert_eq!(status, 404);
}

async fn an_outage_is_told_as_such(rig: &rig::Rig) {
    rig.store.faults.set_outage(true);
    let (status, outcome) = rig.operate("DELETE", "/v1/places/quai", "").await;
    assert_eq!((status, &outcome["state"]), (503, &json!("unavailable")), "{outcome}");
    let (status, _) = rig.operate("GET", "/v1/places/quai", "").await;
    assert_eq!(status, 200, "what was accepted stands");
    rig.store.faults.set_outage(false);
    let (status, _) = rig.operate("DELETE", "/v1/places/quai", "").await;
    assert_eq!(status, 200);
}
