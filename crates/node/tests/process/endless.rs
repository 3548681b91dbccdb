//! Upstreams that send bytes without end to the node that owns them, in place of an answer or in one.

use std::net;
use std::time::{Duration, Instant};

use standin::platform::endless::{Endless, Part, Speed};
use standin::platform::upstream::{Behavior, Upstream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::broken_answers;
use crate::rig;

/// Time that a caller reads an answer that goes on.
const READ_TIME: Duration = Duration::from_secs(6);

/// Deadline of the services, with a margin for a busy machine.
const DEADLINE: Duration = Duration::from_millis(5_500);

/// Most memory that all upstreams without end together may cost a node, in kilobytes.
const MAX_GROWTH_KB: u64 = 64 * 1_024;

/// Longest time that a request to another upstream may take meanwhile, on a busy machine.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Bytes of an answer that are kept.
const KEPT: usize = 1_024;

/// Returns the first bytes of the answer to a request of the service with this number, and when its connection ended;
/// `None` if it went on for [`READ_TIME`].
async fn ask(node: &rig::Process, method: &str, number: usize) -> (String, Option<Duration>) {
    let asked = Instant::now();
    let mut stream = TcpStream::connect(node.callers).await.expect("the node accepts");
    let request = format!(
        "{method} / HTTP/1.1\r\nHost: case-{number}.example\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("the node reads");
    let mut beginning = Vec::new();
    let mut buffer = vec![0; 64 * 1_024];
    let read = async {
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            let room = KEPT.saturating_sub(beginning.len()).min(length);
            beginning.extend_from_slice(&buffer[..room]);
        }
    };
    let ended = tokio::time::timeout(READ_TIME, read).await;
    let took = ended.ok().map(|()| asked.elapsed());
    (String::from_utf8_lossy(&beginning).into_owned(), took)
}

/// Asks as [`ask`] does, until the request has been sent to the upstream, for which it must have slots.
async fn ask_until_sent(
    node: &rig::Process,
    method: &str,
    number: usize,
) -> (String, Option<Duration>) {
    loop {
        let (beginning, took) = ask(node, method, number).await;
        if !beginning.contains("yokespoke-verdict: not-run") {
            return (beginning, took);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns what is wrong with what a caller was told of `part`; `None` if nothing is.
fn fault(part: Part, beginning: &str, took: Option<Duration>) -> Option<String> {
    let is_refused = beginning.starts_with("HTTP/1.1 502") || beginning.starts_with("HTTP/1.1 504");
    let is_whole = beginning.starts_with("HTTP/1.1 200") && beginning.ends_with("whole");
    let is_in_time = took.is_some_and(|took| took <= DEADLINE);
    let is_right = match part {
        Part::Surplus => is_whole && is_in_time,
        Part::Excess => (is_whole || is_refused) && is_in_time,
        part if part.is_in_head() => is_refused && is_in_time,
        // What has begun is passed on while it arrives.
        _ => beginning.starts_with("HTTP/1.1 200") || (is_refused && is_in_time),
    };
    (!is_right).then(|| format!("{part:?}: {beginning:?} after {took:?}"))
}

/// A node that reads on and on would spend its memory, or a thread of it, on one upstream.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_cost_an_owner_little() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let ip = net::Ipv4Addr::LOCALHOST;
    rig.vms.fill([ip.into()]);
    let mut upstreams = Vec::new();
    for (number, part) in Part::ALL.into_iter().enumerate() {
        let upstream = Upstream::start_at(&format!("i-{number}"), ip).await;
        let upstream = upstream.expect("the upstream starts");
        upstream.set(Behavior::Endless(Endless { part, speed: Speed::Full }));
        broken_answers::declare_one(&rig, number, upstream.address).await;
        upstreams.push(upstream);
    }
    let node = rig.nodes.values().next().expect("a node");
    let before = node.peak_memory_kb();
    let asks = Part::ALL.into_iter().enumerate().map(async |(number, part)| {
        let (read, write) =
            tokio::join!(ask_until_sent(node, "GET", number), ask_until_sent(node, "POST", number));
        [fault(part, &read.0, read.1), fault(part, &write.0, write.1)]
    });
    let asks = futures_util::future::join_all(asks);
    let others = async {
        for number in 0.. {
            let id = format!("other-{number}");
            let asked = Instant::now();
            let response = rig.get("dakar-0", &id, 50).await.expect("the node answers");
            assert!(rig::is_whole(&id, 50, &response), "{id}: {response:?}");
            assert!(asked.elapsed() <= MAX_DELAY, "{id} after {:?}", asked.elapsed());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let faults = tokio::select! {
        faults = asks => faults,
        () = others => unreachable!("they are asked for ever"),
    };
    let faults: Vec<String> = faults.into_iter().flatten().flatten().collect();
    let growth = node.peak_memory_kb().saturating_sub(before);
    println!("memory +{growth} KB");
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    assert!(growth <= MAX_GROWTH_KB, "they cost {growth} KB");
}
