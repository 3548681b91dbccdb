//! Events that nobody repeats reach a node's decisions, however full their ring is.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::{clock, epoch, id, member, revision, snapshot};
use node::owner::event_loop::outputs;
use node::owner::handle::start;
use node::owner::view;
use steer::ownership::{core, event, heartbeat};
use tokio::sync::{mpsc, watch};

/// Events with which a test fills the ring, more than it holds.
const MANY: usize = 10_000;

/// Time for which the decisions stand still meanwhile.
const STANDS_STILL: Duration = Duration::from_millis(300);

/// Longest time a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

fn member() -> heartbeat::Member {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1));
    heartbeat::Member {
        key: member::Key { node: id::Node::new("n-1"), incarnation: 1 },
        region: id::Region::new("north"),
        hall: id::Hall::new("north-1"),
        callers: any,
        peers: any,
        operators: any,
        sequence: 0,
        revision: revision::Revision(0),
        epoch: epoch::Epoch(0),
        settled: epoch::Epoch(0),
        is_leaving: false,
    }
}

fn unanswered() -> event::Event {
    event::Event::Unanswered { node: id::Node::new("nobody") }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_taken_after_a_full_ring() {
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::System::new());
    let me = member();
    let first = view::View::first(me.key.clone(), me.region.clone());
    let (view, views) = watch::channel(sync::Arc::new(first));
    let (peers, _sent) = mpsc::channel(1);
    let (tables, _written) = mpsc::channel(1);
    let core = core::Core::new(me, Vec::new(), clock.now(), clock.wall_time());
    let outputs = outputs::Outputs { peers, tables, view };
    let (handle, mut thread) = start::start(core, outputs, clock, 1).expect("the thread starts");
    let still = handle.clone();
    let stands = tokio::spawn(async move {
        still.look(|_| std::thread::sleep(STANDS_STILL)).await;
    });
    while handle.pressure().asks < MANY / 4 {
        handle.send(unanswered());
    }
    for _ in 0..MANY {
        handle.send(unanswered());
    }
    let snapshot = snapshot::Snapshot {
        revision: revision::Revision(7),
        services: collections::BTreeMap::new(),
        ..snapshot::Snapshot::default()
    };
    handle.deliver(event::Event::Configure { snapshot: sync::Arc::new(snapshot) }).await;
    let began = Instant::now();
    while views.borrow().config.revision() != revision::Revision(7) {
        assert!(began.elapsed() < PATIENCE, "the configuration is not in force");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stands.await.expect("the look ends");
    thread.stop();
}
