//! Planned stops, kills and pauses under load, counted at the upstreams.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use standin::client;

use crate::rig;

/// Requests that the load keeps out at once.
const WORKERS: usize = 8;

/// How a load's requests ended.
#[derive(Debug, Default)]
struct Ends {
    whole: atomic::AtomicUsize,
    not_run: atomic::AtomicUsize,
    may_have_run: atomic::AtomicUsize,
    no_answer: atomic::AtomicUsize,
}

impl Ends {
    fn count(counter: &atomic::AtomicUsize) -> usize {
        counter.load(atomic::Ordering::Relaxed)
    }
}

/// Sends requests by `nodes` in turn until stopped.
async fn load(
    rig: sync::Arc<rig::Rig>,
    nodes: Vec<String>,
    worker: usize,
    stop: sync::Arc<atomic::AtomicBool>,
    ends: sync::Arc<Ends>,
) {
    for number in 0.. {
        if stop.load(atomic::Ordering::Relaxed) {
            return;
        }
        let id = format!("{worker}-{number}");
        let node = &nodes[(worker + number) % nodes.len()];
        let counter = match rig.get(node, &id, 5_000).await {
            Ok(response) if rig::is_whole(&id, 5_000, &response) => &ends.whole,
            Ok(response) => match response.headers().get("yokespoke-verdict") {
                Some(verdict) if verdict == "not-run" => {
                    assert_eq!(rig.truth.runs(&id), 0, "{id} was told not run");
                    &ends.not_run
                }
                Some(_) => &ends.may_have_run,
                None => panic!("{id}: neither whole nor a verdict: {response:?}"),
            },
            Err(error) => {
                println!("{id} by {node}: {error:?}");
                &ends.no_answer
            }
        };
        counter.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

/// Runs `work` while requests go to all nodes but `spared`, and returns how they ended.
async fn under_load(
    rig: &sync::Arc<rig::Rig>,
    spared: &str,
    work: impl Future<Output = ()>,
) -> sync::Arc<Ends> {
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let ends = sync::Arc::new(Ends::default());
    let nodes: Vec<String> = rig.nodes.keys().filter(|n| *n != spared).cloned().collect();
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (rig, nodes) = (sync::Arc::clone(rig), nodes.clone());
            let (stop, ends) = (sync::Arc::clone(&stop), sync::Arc::clone(&ends));
            tokio::spawn(load(rig, nodes, worker, stop, ends))
        })
        .collect();
    work.await;
    stop.store(true, atomic::Ordering::Relaxed);
    for worker in workers {
        worker.await.expect("the load holds what it asserts");
    }
    ends
}

/// Returns a node that owns upstreams.
async fn some_owner(rig: &rig::Rig) -> String {
    for (name, node) in &rig.nodes {
        let state = rig.state(node).await;
        let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
        if upstreams.iter().any(|u| u["home"] == state["node"]) {
            return name.clone();
        }
    }
    panic!("no node owns an upstream");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    let rig = sync::Arc::new(rig::Rig::start(&["dakar"], 3).await);
    let leaving = some_owner(&rig).await;
    let ends = under_load(&rig, &leaving, async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        // A long answer is on its way through the stopping node.
        let slow = tokio::spawn({
            let (rig, leaving) = (sync::Arc::clone(&rig), leaving.clone());
            async move { rig.get(&leaving, "slow", 2_000_000).await }
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
        rig.nodes[&leaving].signal("TERM");
        let response = slow.await.expect("the task ends").expect("the answer is not cut off");
        assert!(rig::is_whole("slow", 2_000_000, &response));
        let rest: Vec<&rig::Process> =
            rig.nodes.iter().filter(|(n, _)| **n != leaving).map(|(_, p)| p).collect();
        rig.wait("the homes are handed over", async |rig| {
            let mut listed = Vec::new();
            for node in &rest {
                listed.push(rig.state(node).await["seats"].as_array().map_or(0, Vec::len));
            }
            listed.iter().all(|count| *count == 2)
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    })
    .await;
    assert!(Ends::count(&ends.whole) > 100, "{ends:?}");
    let cut = Ends::count(&ends.may_have_run) + Ends::count(&ends.no_answer);
    assert_eq!(cut, 0, "{ends:?}");
    assert_eq!(Ends::count(&ends.not_run), 0, "{ends:?}");
    assert_eq!(rig.truth.over_slots(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_home_is_replaced_and_nothing_runs_beyond_the_slots() {
    let rig = sync::Arc::new(rig::Rig::start(&["dakar"], 3).await);
    let killed = some_owner(&rig).await;
    let vm = rig.nodes[&killed].peers.ip();
    let ends = under_load(&rig, &killed, async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        rig.nodes[&killed].signal("KILL");
        rig.vms.set(vm, None);
        let rest = rig.nodes.iter().find(|(n, _)| **n != killed).map(|(_, p)| p);
        let rest = rest.expect("a node is left");
        rig.wait("the killed node's slots are used again", async |rig| {
            let state = rig.state(rest).await;
            let is_count = |field: &str, count| {
                state[field].as_array().is_some_and(|list| list.len() == count)
            };
            is_count("seats", 2) && is_count("departed", 0)
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    })
    .await;
    assert!(Ends::count(&ends.whole) > 100, "{ends:?}");
    // Only what the killed node itself was running may be in doubt.
    assert!(Ends::count(&ends.may_have_run) <= 12, "{ends:?}");
    assert_eq!(Ends::count(&ends.no_answer), 0, "{ends:?}");
    assert_eq!(rig.truth.over_slots(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_home_that_wakes_overloads_nothing() {
    let rig = sync::Arc::new(rig::Rig::start(&["dakar"], 3).await);
    let paused = some_owner(&rig).await;
    let ends = under_load(&rig, &paused, async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        rig.nodes[&paused].signal("STOP");
        // Longer than a loan with its tail, so that others use the paused node's slots.
        tokio::time::sleep(Duration::from_secs(8)).await;
        rig.nodes[&paused].signal("CONT");
        rig.wait("the woken node is listed again", async |rig| rig.all_listed(3).await).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    })
    .await;
    assert!(Ends::count(&ends.whole) > 100, "{ends:?}");
    assert_eq!(rig.truth.over_slots(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_stops_no_request() {
    let rig = sync::Arc::new(rig::Rig::start(&["dakar"], 3).await);
    let ends = under_load(&rig, "", async {
        rig.store.faults.set_outage(true);
        tokio::time::sleep(Duration::from_secs(6)).await;
        rig.store.faults.set_outage(false);
    })
    .await;
    assert!(Ends::count(&ends.whole) > 500, "{ends:?}");
    let failed =
        Ends::count(&ends.not_run) + Ends::count(&ends.may_have_run) + Ends::count(&ends.no_answer);
    assert_eq!(failed, 0, "{ends:?}");
    assert_eq!(rig.truth.over_slots(), 0);
}

/// Callers' connections that rest as long as a head may take.
const RESTING: usize = 60;

/// Rests of each of them, and their shortest and longest time in milliseconds.
const RESTS: (u64, u64, u64) = (6, 985, 1_015);

/// A node closed a connection that rested between two requests after the time that a head may take, also when the next request was
/// on its way: the caller got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_rest_between_requests_get_every_answer() {
    let rig = sync::Arc::new(rig::Rig::start(&["dakar"], 1).await);
    let callers = (0..RESTING).map(|caller| {
        let rig = sync::Arc::clone(&rig);
        tokio::spawn(async move {
            let (rests, shortest, longest) = RESTS;
            let client = client::Client::new(None);
            let node = rig.nodes.keys().next().expect("a node");
            let mut unanswered = Vec::new();
            for rest in 0..rests {
                let id = format!("rests-{caller}-{rest}");
                match rig.get_by(&client, node, &id, 50).await {
                    Ok(answer) if rig::is_whole(&id, 50, &answer) => {}
                    Ok(answer) => unanswered.push(format!("{id}: {answer:?}")),
                    Err(error) => unanswered.push(format!("{id}: {error:?}")),
                }
                let time = shortest + (caller as u64 * 7 + rest) % (longest - shortest);
                tokio::time::sleep(Duration::from_millis(time)).await;
            }
            unanswered
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut unanswered = Vec::new();
    for caller in callers {
        unanswered.extend(caller.await.expect("the caller ends"));
    }
    assert!(unanswered.is_empty(), "{} without an answer: {unanswered:?}", unanswered.len());
}
