//! Gateway process: starts and stops the tasks of a gateway.
//!
//! Owns the listening sockets and the tasks, which share a [`state::State`].

use std::cell;
use std::net;
use std::rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform::store::client;
use steer::common::responsiveness;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::common::store;
use crate::gateway::catch_up;
use crate::gateway::connectivity;
use crate::gateway::control_server;
use crate::gateway::declarations;
use crate::gateway::fleet_keeper;
use crate::gateway::heartbeat;
use crate::gateway::loads;
use crate::gateway::proxy::listener;
use crate::gateway::proxy::pool;
use crate::gateway::proxy::server;
use crate::gateway::quarantine;
use crate::gateway::quarantine_keeper;
use crate::gateway::registration;
use crate::gateway::rollout_keeper;
use crate::gateway::settings;
use crate::gateway::shutdown;
use crate::gateway::state;
use crate::gateway::sync;

/// Interval between ticks of the dispatcher.
const TICK: Duration = Duration::from_millis(250);

/// Gap between ticks that is logged as a pause of the process; six intervals.
const STANDSTILL: Duration = Duration::from_millis(1_500);

/// Number of attempts to find a port that is free for both TCP and UDP.
const FREE_PORT_TRIES: usize = 16;

/// Time in which the last short answers of a stopping gateway reach their clients, who then close.
const CONTROL_CLOSE_TIME: Duration = Duration::from_millis(500);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// State shared by the tasks.
    pub state: rc::Rc<state::State>,
    open: rc::Rc<server::Open>,
    close: watch::Sender<bool>,
    control: Control,
    turns: rc::Rc<cell::Cell<responsiveness::Turns>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway on the current thread, inside a [`task::LocalSet`].
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: settings::Settings) -> anyhow::Result<Self> {
        let callers = listen("listen.callers", settings.listen.callers).await?;
        let ready = listen("listen.ready", settings.listen.ready).await?;
        let directory = listen("listen.directory", settings.listen.directory).await?;
        let (peers, datagrams) = listen_both("listen.peers", settings.listen.peers).await?;
        let mut settings = settings;
        settings.listen = settings::Listen {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            directory: directory.local_addr()?,
            peers: peers.local_addr()?,
        };
        let datagrams = rc::Rc::new(datagrams);
        let source = settings.source();
        let state = rc::Rc::new(state::State::new(settings, incarnation()));
        state.slots.set_socket(rc::Rc::clone(&datagrams));
        let open = rc::Rc::new(server::Open::default());
        let (close, closed) = watch::channel(false);
        let pool = rc::Rc::new(pool::Pool::default());
        let proxy = server::Server::new(
            rc::Rc::clone(&state),
            rc::Rc::clone(&open),
            rc::Rc::clone(&pool),
            closed,
        );
        let turns = rc::Rc::new(cell::Cell::new(responsiveness::Turns::new(Instant::now())));
        let mut tasks = follow(&state, source);
        tasks.extend([
            task::spawn_local(listener::serve(proxy, callers)),
            task::spawn_local(heartbeat::send(rc::Rc::clone(&state), rc::Rc::clone(&datagrams))),
            task::spawn_local(loads::send(rc::Rc::clone(&state), rc::Rc::clone(&datagrams))),
            task::spawn_local(quarantine::run(rc::Rc::clone(&state), rc::Rc::clone(&datagrams))),
            task::spawn_local(heartbeat::receive(rc::Rc::clone(&state), datagrams)),
            task::spawn_local(connectivity::run(rc::Rc::clone(&state))),
            task::spawn_local(tick(rc::Rc::clone(&state), pool)),
            task::spawn_local(record_turns(rc::Rc::clone(&turns))),
        ]);
        let control = Control::start(&state, [ready, directory, peers]);
        Ok(Self { state, open, close, control, turns, tasks })
    }

    /// Applies the settings that may change at run time: seeds and bounds.
    pub fn reload(&self, new: settings::Settings) {
        let mut settings = self.state.settings.borrow_mut();
        let mut changed = (**settings).clone();
        changed.seeds = new.seeds;
        changed.bounds = new.bounds;
        let is_changed = changed != **settings;
        *settings = rc::Rc::new(changed);
        log::info!(changed = is_changed; "settings-reloaded");
    }

    /// Returns the earliest time at which a signal that is seen now may have arrived.
    #[must_use]
    pub fn earliest_arrival(&self) -> Instant {
        self.turns.get().earliest_arrival(Instant::now())
    }

    /// Shuts down gracefully after a signal that arrived at `arrived` at the earliest.
    pub async fn stop(self, arrived: Instant) -> shutdown::Outcome {
        let outcome =
            shutdown::run(&self.state, &self.open, &self.close, &self.turns, arrived).await;
        if self.state.ends_before_exit(Instant::now() + CONTROL_CLOSE_TIME) {
            self.control.close().await;
        }
        for task in &self.tasks {
            task.abort();
        }
        outcome
    }
}

/// Servers of short answers.
#[derive(Debug)]
struct Control {
    close: watch::Sender<bool>,
    servers: task::JoinSet<()>,
}

impl Control {
    fn start(state: &rc::Rc<state::State>, listeners: [TcpListener; 3]) -> Self {
        let (close, closed) = watch::channel(false);
        let mut servers = task::JoinSet::new();
        for listener in listeners {
            let state = rc::Rc::clone(state);
            servers.spawn_local(control_server::serve(state, listener, closed.clone()));
        }
        Self { close, servers }
    }

    /// Answers what is on its way, and closes all connections.
    async fn close(self) {
        let Self { close, mut servers } = self;
        // Fails only when all servers have ended, which is what it is for.
        let _ = close.send(true);
        let ended = async { while servers.join_next().await.is_some() {} };
        // Clients that do not close their connections are not waited for any longer.
        let _ = time::timeout(CONTROL_CLOSE_TIME, ended).await;
    }
}

/// Starts the tasks that follow the source of the configuration and the upstreams.
fn follow(state: &rc::Rc<state::State>, source: settings::Source) -> Vec<task::JoinHandle<()>> {
    let state = || rc::Rc::clone(state);
    match source {
        settings::Source::Platform(address) => {
            // Separate connections, so that a task does not reuse a connection that is unresponsive.
            let first = client::Client::new(address);
            let client = || first.beside();
            vec![
                task::spawn_local(sync::run(state(), client())),
                task::spawn_local(registration::run(state(), client())),
                task::spawn_local(quarantine_keeper::run(state(), client())),
                task::spawn_local(fleet_keeper::run(state(), client())),
                task::spawn_local(rollout_keeper::run(state(), client())),
                task::spawn_local(catch_up::run(state())),
            ]
        }
        settings::Source::Declarations(address) => {
            let client = store::client::Client::new(address, std::sync::Arc::default());
            vec![task::spawn_local(declarations::run(state(), client))]
        }
    }
}

async fn listen(field: &str, address: net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| anyhow::anyhow!("{field}: cannot listen on {address}: {error}"))
}

/// Listens on the same port for TCP and UDP.
async fn listen_both(
    field: &str,
    address: net::SocketAddr,
) -> anyhow::Result<(TcpListener, UdpSocket)> {
    let tries = if address.port() == 0 { FREE_PORT_TRIES } else { 1 };
    let mut failure = None;
    for _ in 0..tries {
        let listener = listen(field, address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => failure = Some(error),
        }
    }
    let cause = failure.map(|error| error.to_string()).unwrap_or_default();
    anyhow::bail!("{field}: cannot receive datagrams on {address}: {cause}")
}

/// Returns the current time in milliseconds since the Unix epoch, which increases with each start.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

async fn record_turns(turns: rc::Rc<cell::Cell<responsiveness::Turns>>) {
    loop {
        tokio::time::sleep(responsiveness::TURN_PERIOD).await;
        let mut recorded = turns.get();
        recorded.record(Instant::now());
        turns.set(recorded);
    }
}

async fn tick(state: rc::Rc<state::State>, pool: rc::Rc<pool::Pool>) {
    let mut last = Instant::now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        let before = std::mem::replace(&mut last, now);
        let gap = now.saturating_duration_since(before);
        if gap > STANDSTILL {
            let gap = humantime::format_duration(gap).to_string();
            log::warn!(gap = gap.as_str(); "stood-still");
            state.reset_freshness(now);
            state.members.borrow_mut().resume(before, now);
        }
        state.tick(now);
        pool.sweep();
    }
}
