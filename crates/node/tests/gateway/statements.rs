//! Upstreams say in their answers that they leave, or ask for rest. No gateway read either: leaving was known from the store alone, and
//! a refusal that asked for seconds of rest counted for less than half of one.

use std::time::{Duration, Instant};

use standin::platform::upstream::{Behavior, Upstream};

use crate::client;
use crate::rig::{self, Rig};
use crate::traffic::{Asked, Fleet, HALLS, PATH};

/// Bound on requests to an upstream that leaves, by the users' rule.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which upstreams are watched.
const WATCHED: Duration = Duration::from_secs(8);

/// Rest that upstreams ask for.
const REST: Duration = Duration::from_secs(3);

/// Time from which the users' rule counts requests within a rest.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests that the users' rule grants a gateway within a rest.
const GRANTED: usize = 2;

/// Longest time until a request is refused that nobody can take.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Longest time beyond the end of the earliest rest after which callers are told to return.
const SPREAD: Duration = Duration::from_secs(1);

/// Returns the requests that reached an upstream later than `from`.
fn arrived_after(upstream: &Upstream, from: Instant) -> usize {
    upstream.record().arrived_at.iter().filter(|at| **at > from).count()
}

/// Fails where an upstream got more from its one gateway within a rest than the users' rule grants.
#[track_caller]
fn assert_rested(upstream: &Upstream, since: Instant) {
    let times: Vec<Instant> =
        upstream.record().arrived_at.into_iter().filter(|at| *at >= since).collect();
    let within = |refused: &Instant| {
        let rest = *refused + UNDER_WAY..*refused + REST;
        times.iter().filter(|at| rest.contains(at)).count()
    };
    let most = times.iter().map(within).max().unwrap_or(0);
    assert!(most <= GRANTED, "{}: {most} requests within a rest", upstream.id);
}

#[track_caller]
fn assert_served(asked: &[Asked]) {
    let refused = asked.iter().filter(|asked| asked.answer.status != 200).count();
    assert_eq!(refused, 0, "of {} requests that others have room for", asked.len());
}

/// The store knows nothing of it, and its entry says ready again and again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_an_upstream_that_says_in_its_answers_that_it_leaves_gets_no_more_requests() {
    let fleet = Fleet::start(12).await;
    let preferred = fleet.preferred().await;
    let other = fleet.upstreams.iter().find(|upstream| upstream.id != preferred.id);
    let leaving = [preferred, other.expect("there are twelve")];
    leaving.iter().for_each(|upstream| upstream.say_leaving(&["1"]));
    let began = Instant::now();
    let mut asked = fleet.ask(60.0, DRAIN).await;
    let bound = Instant::now();
    while began.elapsed() < WATCHED {
        leaving.iter().for_each(|upstream| fleet.rig.enter(upstream, "desk", HALLS[0], "ready"));
        asked.extend(fleet.ask(60.0, Duration::from_millis(500)).await);
    }
    for upstream in leaving {
        assert_eq!(arrived_after(upstream, bound), 0, "{} leaves", upstream.id);
    }
    assert_served(&asked);
    let preferred = format!("upstream={}", preferred.id);
    for gateway in &fleet.gateways {
        assert!(gateway.has_logged(&["event=upstream-leaving", &preferred]));
    }
}

/// One gateway is told by an answer, the others by that one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_gateways_tell_each_other_which_upstream_leaves() {
    let fleet = Fleet::start(1).await;
    let upstream = &fleet.upstreams[0];
    fleet.ask(30.0, Duration::from_millis(500)).await;
    upstream.say_leaving(&["1"]);
    let answer = fleet.gateways[0].caller().await.get(PATH, "told").await;
    assert_eq!(answer.status, 200, "it serves while it leaves");
    let all_heard = async || {
        fleet.gateways.iter().all(|gateway| gateway.has_logged(&["event=upstream-leaving"]))
    };
    rig::until("all have heard", all_heard).await;
    let heard = Instant::now();
    for asked in fleet.ask(30.0, Duration::from_secs(1)).await {
        assert_eq!(asked.answer.status, 503, "none is left");
        assert!(asked.took < AT_ONCE, "after {:?}", asked.took);
    }
    assert_eq!(arrived_after(upstream, heard), 0);
}

/// A gateway that starts when the others have long told each other sent its first request to the upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_a_gateway_that_starts_later_knows_which_upstream_leaves() {
    let fleet = Fleet::start(2).await;
    let upstream = fleet.preferred().await;
    upstream.say_leaving(&["1"]);
    fleet.ask(60.0, DRAIN).await;
    let heard = Instant::now();
    let door = fleet.rig.store.open().await.expect("the store opens");
    let peer = fleet.gateways[0].peers;
    let late = fleet.rig.gateway_at("late", HALLS[0], door.address, &[peer]).await;
    late.wait_ready().await;
    let knows = async || late.has_logged(&["event=upstream-leaving"]);
    rig::until("the late one knows it", knows).await;
    for number in 0..20 {
        late.caller().await.get(PATH, &format!("late-{number}")).await;
    }
    assert_eq!(arrived_after(upstream, heard), 0);
}

/// A process that starts under the same name has said nothing yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_an_upstream_that_starts_again_leaves_no_more() {
    let rig = Rig::start(&rig::routes()).await;
    let upstream = rig.upstream("i-0", "desk", HALLS[0]).await;
    rig.enter_at("i-0", upstream.address, "desk", HALLS[0], "ready", 1_000);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", HALLS[0], &door).await;
    upstream.say_leaving(&["1"]);
    let mut caller = gateway.caller().await;
    assert_eq!(caller.get(PATH, "id-1").await.status, 200);
    assert_eq!(caller.get(PATH, "id-2").await.status, 503);
    upstream.say_leaving(&[]);
    rig.enter_at("i-0", upstream.address, "desk", HALLS[0], "ready", 2_000);
    let is_back = async || gateway.caller().await.get(PATH, "id-3").await.status == 200;
    rig::until("the new process is used", is_back).await;
}

/// Others have room, so callers notice nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budget_an_upstream_that_asks_for_rest_gets_it() {
    let fleet = Fleet::start_with(&HALLS[..1], 12).await;
    fleet.preferred().await;
    let resting = &fleet.upstreams[..3];
    for upstream in resting {
        upstream.ask_for_rest(&["3"]);
        upstream.set(Behavior::Full);
    }
    let began = Instant::now();
    let asked = fleet.ask(60.0, WATCHED).await;
    resting.iter().for_each(|upstream| assert_rested(upstream, began));
    assert_served(&asked);
    assert!(fleet.gateways[0].has_logged(&["event=upstream-resting", "rest_ms=3000"]));
}

/// Nobody can take a request, which is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budget_where_all_upstreams_rest_callers_are_told_when_to_come_back() {
    let fleet = Fleet::start_with(&HALLS[..1], 12).await;
    fleet.preferred().await;
    for upstream in &fleet.upstreams {
        upstream.ask_for_rest(&["3"]);
        upstream.set(Behavior::Full);
    }
    let began = Instant::now();
    // Some tries until each has asked.
    fleet.ask(60.0, Duration::from_secs(1)).await;
    let asked = fleet.ask(60.0, Duration::from_secs(1)).await;
    for upstream in &fleet.upstreams {
        assert_rested(upstream, began);
    }
    for refused in asked {
        assert_eq!(refused.answer.status, 503);
        assert!(refused.took < AT_ONCE, "after {:?}", refused.took);
        let told = refused.answer.header("retry-after").expect("told when to come back");
        let told = Duration::from_secs_f64(told.parse().expect("seconds"));
        let back = (refused.at + refused.took + told).duration_since(began);
        let fits = REST..REST + SPREAD + AT_ONCE;
        assert!(fits.contains(&back), "back {back:?} after the first refusal");
    }
    let wants = |words: &[&str]| fleet.gateways[0].has_logged(words);
    assert!(wants(&["event=request-failed", "reason=resting"]), "the line of a request says why");
}

/// What is no time changes nothing; a rest has a longest time; only a refusal asks for one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budget_what_a_gateway_reads_of_rest() {
    for (index, (behavior, values, expected)) in [
        (Behavior::Full, &["3"][..], Some(3.0)),
        (Behavior::Full, &["0.5"], Some(0.5)),
        (Behavior::Full, &["0"], None),
        (Behavior::Full, &["-1"], None),
        (Behavior::Full, &["NaN"], None),
        (Behavior::Full, &[""], None),
        (Behavior::Full, &["Thu, 01 Jan 2026 00:00:00 GMT"], None),
        (Behavior::Full, &["1e9"], Some(300.0)),
        (Behavior::Full, &["1", "2"], Some(2.0)),
        (Behavior::Full, &["soon", "2"], Some(2.0)),
        (Behavior::UnprovedRefusal, &["3"], Some(3.0)),
        (Behavior::Sound, &["3"], None),
        (Behavior::Crossed, &["3"], None),
        (Behavior::Replaced, &["3"], None),
    ]
    .into_iter()
    .enumerate()
    {
        let rig = Rig::start(&rig::routes()).await;
        let upstream = rig.upstream("i-0", "desk", HALLS[0]).await;
        let door = rig.store.open().await.expect("the store opens");
        let gateway = rig.gateway("n-1", HALLS[0], &door).await;
        upstream.ask_for_rest(values);
        upstream.set(behavior);
        gateway.caller().await.get(PATH, &format!("id-{index}")).await;
        let mut operator = client::Client::connect(gateway.peers).await;
        operator.write(b"GET /dump HTTP/1.1\r\nHost: a\r\n\r\n").await;
        let dump: serde_json::Value =
            serde_json::from_slice(&operator.read().await.body).expect("a dump");
        let rests = dump["upstreams"][0]["rests_ms"].as_f64().map(|millis| millis / 1_000.0);
        let is_close = match (rests, expected) {
            (Some(rests), Some(expected)) => rests <= expected && rests > expected - 0.5,
            (rests, expected) => rests == expected,
        };
        assert!(is_close, "{behavior:?} {values:?}: {rests:?}");
        assert!(!gateway.has_logged(&["upstream-ejected"]));
    }
}

/// A second refusal within a rest does not shorten it, nor does an answer to a request that came before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budget_a_rest_is_not_shortened() {
    let rig = Rig::start(&rig::routes()).await;
    let upstream = rig.upstream("i-0", "desk", HALLS[0]).await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", HALLS[0], &door).await;
    upstream.set(Behavior::Slow(Duration::from_millis(400)));
    let mut first = gateway.caller().await;
    let earlier = tokio::spawn(async move { first.get(PATH, "earlier").await.status });
    let mut second = gateway.caller().await;
    let less = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        second.get(PATH, "less").await.status
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    upstream.ask_for_rest(&["3"]);
    upstream.set(Behavior::Full);
    let began = Instant::now();
    assert_eq!(gateway.caller().await.get(PATH, "asks").await.status, 503);
    upstream.ask_for_rest(&["1"]);
    assert_eq!(earlier.await.expect("it ends"), 200);
    less.await.expect("it ends");
    upstream.ask_for_rest(&[]);
    upstream.set(Behavior::Sound);
    let mut back = None;
    while back.is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = gateway.caller().await.get(PATH, "again").await;
        back = (answer.status == 200).then(|| began.elapsed());
    }
    assert!(back > Some(REST - Duration::from_millis(100)), "used again after {back:?}");
}

/// A header that bears the platform's mark and that nobody reads is counted by name, and logged once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_header_that_nobody_reads_is_seen() {
    let rig = Rig::start(&rig::routes()).await;
    let upstream = rig.upstream("i-0", "desk", HALLS[0]).await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", HALLS[0], &door).await;
    // A further line of the head, smuggled in behind a value that is read.
    upstream.say_leaving(&["0\r\nServer-Mood: fine"]);
    for index in 0..3 {
        gateway.caller().await.get(PATH, &format!("id-{index}")).await;
    }
    let mut operator = client::Client::connect(gateway.peers).await;
    operator.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let text = operator.read().await.text();
    assert!(text.contains("yokespoke_unknown_headers_total{header=\"server-mood\"} 3\n"));
    let is_logged = async || gateway.has_logged(&["event=header-unknown"]);
    rig::until("it is logged", is_logged).await;
    let lines = gateway.lines.lock().expect("no reader panics");
    assert_eq!(lines.iter().filter(|line| line.contains("event=header-unknown")).count(), 1);
}
