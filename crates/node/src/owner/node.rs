//! A node: its threads, started together and stopped together.
//!
//! Owns the threads, the rings between them and the planned stop. Relies on each thread's module for its
//! work.

use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use axum::serve::ListenerExt as _;
use model::clock;
use model::epoch;
use model::member;
use model::revision;
use steer::common::grace;
use steer::ownership::core;
use steer::ownership::event;
use steer::ownership::heartbeat;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::common::socket;
use crate::common::stop_list;
use crate::common::store::client;
use crate::owner::callers;
use crate::owner::event_loop::outputs;
use crate::owner::handle;
use crate::owner::handle::start;
use crate::owner::in_flight::report;
use crate::owner::io_thread;
use crate::owner::open;
use crate::owner::operators;
use crate::owner::peers;
use crate::owner::probes;
use crate::owner::runner;
use crate::owner::settings;
use crate::owner::stats;
use crate::owner::stopping;
use crate::owner::store::follower;
use crate::owner::store::vmlist;
use crate::owner::turns;
use crate::owner::view;

/// Heartbeats and fetches that wait for the peers' thread. Not measured.
const OUTGOING: usize = 256;

/// Tables that wait for the store's thread. Not measured; they are proposed again.
const TABLES: usize = 4;

/// Operators' changes that wait for the store's thread. Not measured.
const WRITES: usize = 64;

/// Time between two checks whether a stopping node is done. Not measured.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A planned stop, as it ended.
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// How long it took.
    pub took: Duration,
    /// Whether everything had ended in time.
    pub is_done: bool,
    /// What its exit cut off.
    pub remainder: report::Remainder,
    /// Connections that have ended, and whose callers or peers have not confirmed the last response by closing.
    pub unconfirmed: usize,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Where it listens.
    pub listen: settings::Listen,
    handle: handle::Handle,
    stopping: sync::Arc<stopping::Stopping>,
    callers: Server,
    peers: Server,
    limits: settings::Limits,
    threads: Vec<io_thread::IoThread>,
    thread: start::Thread,
    turns: Turns,
}

/// Turns of the threads that the signal to stop and requests pass.
#[derive(Debug)]
struct Turns {
    signals: turns::Recorder,
    callers: turns::Recorder,
    peers: turns::Recorder,
}

impl Turns {
    fn new(clock: &sync::Arc<dyn clock::Clock>) -> Self {
        let recorder = || turns::Recorder::new(sync::Arc::clone(clock));
        Self { signals: recorder(), callers: recorder(), peers: recorder() }
    }

    /// Returns by how much a request or its response may have been held up lately.
    fn longest_delay(&self, now: Instant) -> Duration {
        let Self { signals, callers, peers } = self;
        let delays = [signals, callers, peers].map(|recorder| recorder.longest_delay(now));
        delays.into_iter().max().unwrap_or_default()
    }
}

impl Node {
    /// Starts a node. Listeners with port 0 get a free port, which [`Node::listen`] then holds.
    ///
    /// The calling task's runtime is the one whose turns show how late a signal is seen.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on or a thread cannot be made.
    ///
    /// # Panics
    ///
    /// Panics outside a runtime.
    pub fn start(settings: &settings::Settings) -> anyhow::Result<Self> {
        let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::System::new());
        let callers = listen("listen.callers", settings.listen.callers)?;
        let operators = listen("listen.operators", settings.listen.operators)?;
        let peers = listen("listen.peers", settings.listen.peers)?;
        let listen = settings::Listen {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        };
        let me = member(settings, &listen, &*clock);
        let first = view::View::first(me.key.clone(), me.region.clone());
        let (view, _) = watch::channel(sync::Arc::new(first));
        let (outgoing, to_send) = mpsc::channel(OUTGOING);
        let (tables, to_write) = mpsc::channel(TABLES);
        let (writes, to_apply) = mpsc::channel(WRITES);
        let core = core::Core::new(me, settings.seeds.clone(), clock.now(), clock.wall_time());
        let outputs = outputs::Outputs { peers: outgoing, tables, view };
        let (handle, thread) =
            start::start(core, outputs, sync::Arc::clone(&clock), settings.limits.requests)?;
        let stats = sync::Arc::new(stats::Stats::new());
        let calls = sync::Arc::new(client::Calls::default());
        let (callers_server, stop_callers) = Server::new();
        let (peers_server, stop_peers) = Server::new();
        let stopping = sync::Arc::new(stopping::Stopping::new(sync::Arc::clone(&clock)));
        let turns = Turns::new(&clock);
        tokio::spawn(turns.signals.clone().run());
        let context = operators::api::Context {
            handle: handle.clone(),
            writes,
            access: operators::access::Access::new(&settings.operators),
            calls: sync::Arc::clone(&calls),
            stats: sync::Arc::clone(&stats),
        };
        let threads = vec![
            start_callers(
                settings,
                &handle,
                stats,
                &stopping,
                callers,
                stop_callers,
                &turns.callers,
            )?,
            start_peers(&handle, &stopping, peers, to_send, stop_peers, &turns.peers)?,
            start_store(settings, &handle, calls, to_write, to_apply)?,
            start_probes(&handle)?,
            start_operators(context, operators)?,
        ];
        let limits = settings.limits.clone();
        Ok(Self {
            listen,
            handle,
            stopping,
            callers: callers_server,
            peers: peers_server,
            limits,
            threads,
            thread,
            turns,
        })
    }

    /// Returns the way to ask its decisions.
    #[must_use]
    pub fn handle(&self) -> &handle::Handle {
        &self.handle
    }

    /// Returns the earliest time at which a signal that is seen now may have arrived.
    #[must_use]
    pub fn earliest_arrival(&self) -> Instant {
        self.turns.signals.earliest_arrival()
    }

    /// Stops as planned after a signal that arrived at `arrived` at the earliest, by the node's clock: leaves
    /// look-ups, hands its upstreams over, finishes all it has, and ends.
    ///
    /// Logs how the requests since the signal ended, and those that it cuts off.
    pub async fn stop(mut self, arrived: Instant) -> Stopped {
        let seen = self.handle.now();
        let mut grace = grace::Grace::new(arrived, seen, self.limits.stop_time);
        self.stopping.begin(arrived, &grace);
        self.callers.connections.lingering.begin_stop();
        self.peers.connections.lingering.begin_stop();
        self.handle.deliver(event::Event::Stop).await;
        let mut is_listed = false;
        let is_done = loop {
            let now = self.handle.now();
            grace.allow_for(self.turns.longest_delay(now));
            self.stopping.limit(&grace);
            // Callers may use a look-up for this long, so their new requests are still served.
            if now >= seen + self.limits.lookup_cache {
                self.callers.stop();
            }
            if self.has_ended_requests() {
                self.peers.stop();
            }
            if self.has_ended_requests() && self.have_connections_ended() {
                break true;
            }
            let is_idle = self.stopping.requests.is_empty() && self.unconfirmed() == 0;
            if grace.is_over(now, is_idle) {
                // Callers and peers that have not closed their connections have been sent everything.
                break self.has_ended_requests() && self.peers.connections.are_served();
            }
            // A pause as long as the longest recent one must not prevent the list.
            let early = stop_list::EARLY.max(grace.margin() + LOOK_EVERY);
            if !is_listed && now + early >= grace.earliest_end() {
                is_listed = true;
                report::log_unfinished(&self.stopping.requests, arrived, stop_list::List::Early);
            }
            tokio::time::sleep(LOOK_EVERY.min(grace.left(now))).await;
        };
        // Connections that are ending have sent their last answers by the next look.
        tokio::time::sleep((LOOK_EVERY * 4).min(grace.left(self.handle.now()))).await;
        report::log_unfinished(&self.stopping.requests, arrived, stop_list::List::Final);
        let remainder = report::log_summary(&self.stopping.requests);
        let unconfirmed = self.unconfirmed();
        let took = self.handle.now().saturating_duration_since(arrived);
        self.end();
        Stopped { took, is_done, remainder, unconfirmed }
    }

    /// Returns whether all requests have ended, and callers have been sent their responses.
    fn has_ended_requests(&self) -> bool {
        self.handle.view().is_done
            && self.callers.connections.are_served()
            && self.stopping.requests.is_empty()
    }

    fn have_connections_ended(&self) -> bool {
        self.callers.connections.have_ended() && self.peers.connections.have_ended()
    }

    /// Returns the number of connections that have ended, and whose callers or peers may not have the last response.
    fn unconfirmed(&self) -> usize {
        [&self.callers, &self.peers]
            .map(|server| server.connections.lingering.unconfirmed())
            .into_iter()
            .sum()
    }

    /// Ends at once, as if the process had been killed.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        for thread in &mut self.threads {
            thread.stop();
        }
        self.thread.stop();
    }
}

fn listen(field: &str, address: net::SocketAddr) -> anyhow::Result<std::net::TcpListener> {
    callers::server::bind(address)
        .map_err(|error| anyhow::anyhow!("{field}: cannot listen on {address}: {error}"))
}

fn member(
    settings: &settings::Settings,
    listen: &settings::Listen,
    clock: &dyn clock::Clock,
) -> heartbeat::Member {
    let since = clock.wall_time().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    // Grows with each start, so that a newer incarnation is known as such.
    let incarnation = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    heartbeat::Member {
        key: member::Key { node: settings.node.clone(), incarnation },
        region: settings.region.clone(),
        hall: settings.hall.clone(),
        callers: listen.callers,
        peers: listen.peers,
        operators: listen.operators,
        sequence: 0,
        revision: revision::Revision(0),
        epoch: epoch::Epoch(0),
        settled: epoch::Epoch(0),
        is_leaving: false,
    }
}

/// A server that runs on its own thread, as the node stops it.
#[derive(Debug)]
struct Server {
    stop: watch::Sender<bool>,
    connections: open::Connections,
}

/// Stop of a server, as the server sees it: when it is to end, and which connections have not ended.
struct Stop {
    stopped: watch::Receiver<bool>,
    connections: open::Connections,
}

impl Server {
    fn new() -> (Self, Stop) {
        let (stop, stopped) = watch::channel(false);
        let connections = open::Connections::default();
        (Self { stop, connections: connections.clone() }, Stop { stopped, connections })
    }

    /// Lets the server accept nothing more and end each connection after what it has in flight.
    fn stop(&self) {
        self.stop.send_if_modified(|stop| !std::mem::replace(stop, true));
    }
}

fn start_callers(
    settings: &settings::Settings,
    handle: &handle::Handle,
    stats: sync::Arc<stats::Stats>,
    stopping: &sync::Arc<stopping::Stopping>,
    listener: std::net::TcpListener,
    stop: Stop,
    turns: &turns::Recorder,
) -> io::Result<io_thread::IoThread> {
    let turns = turns.clone();
    let handle = handle.clone();
    let limits = settings.limits.clone();
    let stopping = sync::Arc::clone(stopping);
    io_thread::IoThread::start("callers", move || async move {
        let Some(listener) = register("callers", listener) else { return };
        tokio::spawn(turns.run());
        let entry = entry(&handle);
        let Stop { stopped, connections } = stop;
        let server =
            callers::server::Server { handle, entry, limits, stats, stopping, connections };
        callers::server::serve(server, listener, stopped).await;
        // Connections that were accepted are served here until the node ends.
        std::future::pending::<()>().await;
    })
}

fn start_peers(
    handle: &handle::Handle,
    stopping: &sync::Arc<stopping::Stopping>,
    listener: std::net::TcpListener,
    to_send: mpsc::Receiver<outputs::Outgoing>,
    stop: Stop,
    turns: &turns::Recorder,
) -> io::Result<io_thread::IoThread> {
    let turns = turns.clone();
    let handle = handle.clone();
    let stopping = sync::Arc::clone(stopping);
    io_thread::IoThread::start("peers", move || async move {
        let Some(listener) = register("peers", listener) else { return };
        tokio::spawn(turns.run());
        let server = peers::server::Server {
            runner: runner::Runner::new(handle.clone()),
            entry: entry(&handle),
            handle: handle.clone(),
            stopping,
        };
        let serve = async move {
            let connections = stop.connections.clone();
            let served = peers::server::serve(server, listener, stop.stopped, connections).await;
            if let Err(error) = served {
                let error = error.to_string();
                log::error!(duty = "peers", error = error.as_str(); "duty-failed");
            }
            // Accepts nothing more where it failed.
            stop.connections.close();
        };
        tokio::join!(serve, peers::heartbeats::run(handle, to_send));
    })
}

fn start_store(
    settings: &settings::Settings,
    handle: &handle::Handle,
    calls: sync::Arc<client::Calls>,
    to_write: mpsc::Receiver<sync::Arc<model::table::Table>>,
    to_apply: mpsc::Receiver<follower::Write>,
) -> io::Result<io_thread::IoThread> {
    let handle = handle.clone();
    let region = settings.region.clone();
    let address = settings.store;
    let vms = settings.vms;
    io_thread::IoThread::start("store", move || async move {
        let client = client::Client::new(address, calls);
        let follower = follower::Follower::new(client, handle.clone(), region);
        let list = async {
            match vms {
                Some(vms) => vmlist::run(vms, handle).await,
                None => std::future::pending().await,
            }
        };
        tokio::join!(follower.run(to_write, to_apply), list);
    })
}

fn start_probes(handle: &handle::Handle) -> io::Result<io_thread::IoThread> {
    let handle = handle.clone();
    io_thread::IoThread::start("probes", move || probes::run(handle))
}

fn start_operators(
    context: operators::api::Context,
    listener: std::net::TcpListener,
) -> io::Result<io_thread::IoThread> {
    io_thread::IoThread::start("operators", move || async move {
        let Some(listener) = register("operators", listener) else { return };
        // It serves until the thread is stopped and never returns an error.
        let listener = listener.tap_io(|stream| socket::accepted_from_operator(stream));
        let _ = axum::serve(listener, operators::api::router(context)).await;
    })
}

/// Registers a listener with the runtime of the thread `name`.
fn register(name: &str, listener: std::net::TcpListener) -> Option<TcpListener> {
    match TcpListener::from_std(listener) {
        Ok(listener) => Some(listener),
        Err(error) => {
            let error = error.to_string();
            log::error!(duty = name, error = error.as_str(); "duty-failed");
            None
        }
    }
}

fn entry(handle: &handle::Handle) -> callers::entry::Entry {
    callers::entry::Entry::new(
        handle.clone(),
        runner::Runner::new(handle.clone()),
        peers::forwarder::Forwarder::default(),
    )
}
