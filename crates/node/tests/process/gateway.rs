//! A gateway that follows yokespoke's own declarations: routes, evacuations and drains.

use http::Request;
use http_body_util::Full;
use serde_json::json;

use crate::rig;

const ROUTE: &str = r#"{"name": "reads", "host": "find.example", "prefix": "/items/",
    "repetition": "idempotent", "timeout": "3s", "target_latency": "1s", "max_attempts": 2,
    "parts": [{"service": "catalogue"}]}"#;

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_what_operators_declare() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let (status, put) = rig.operate("PUT", "/v1/routes/reads", ROUTE).await;
    assert_eq!((status, &put["state"]), (200, &json!("accepted")), "{put}");
    let gateway = rig.start_gateway("dakar", "dakar-1");
    rig.wait("the route is served", async |rig| served(rig, &gateway, "first").await).await;
    let bad = ROUTE.replace("/items/", "items");
    let (status, refused) = rig.operate("PUT", "/v1/routes/reads", &bad).await;
    assert_eq!((status, &refused["state"]), (422, &json!("refused")), "{refused}");
    let (status, _) = rig.operate("DELETE", "/v1/routes/reads", "").await;
    assert_eq!(status, 200);
    rig.wait("the route is gone", async |rig| !served(rig, &gateway, "last").await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_hall_gets_nothing_from_a_gateway() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let _ = rig.operate("PUT", "/v1/routes/reads", ROUTE).await;
    let gateway = rig.start_gateway("dakar", "dakar-1");
    rig.wait("the route is served", async |rig| served(rig, &gateway, "first").await).await;
    for hall in rig.halls() {
        let body = json!({ "name": hall, "hall": hall }).to_string();
        let path = format!("/v1/evacuations/{hall}");
        let (status, put) = rig.operate("PUT", &path, &body).await;
        assert_eq!((status, &put["state"]), (200, &json!("accepted")), "{put}");
    }
    rig.wait("nothing is served", async |rig| !served(rig, &gateway, "none").await).await;
    let (_, listed) = rig.operate("GET", "/v1/evacuations", "").await;
    assert_eq!(listed["items"].as_array().map(Vec::len), Some(rig.halls().len()));
    for hall in rig.halls() {
        let _ = rig.operate("DELETE", &format!("/v1/evacuations/{hall}"), "").await;
    }
    rig.wait("it is served again", async |rig| served(rig, &gateway, "again").await).await;
}

/// Returns whether the gateway gives the whole answer to a request on the route.
async fn served(rig: &rig::Rig, gateway: &rig::Process, id: &str) -> bool {
    let request = Request::get(format!("http://{}/items/7", gateway.callers))
        .header("host", "find.example")
        .header("x-request-id", id)
        .header("x-answer-bytes", "500")
        .body(Full::default())
        .expect("the request is well formed");
    let Ok(response) = rig.http.send(request).await else { return false };
    let is_whole = rig::is_whole(id, 500, &response);
    let verdict = response.headers().get("yokespoke-verdict");
    assert!(is_whole || verdict.is_some(), "{response:?}");
    is_whole
}
