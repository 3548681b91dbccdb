//! Runs a gateway from its settings to its planned stop.

use std::io;
use std::path;
use std::process;
use std::rc;
use std::time::Instant;

use ::node::common::log_writer;
use ::node::common::logging;
use ::node::gateway;
use ::node::gateway::metrics;
use ::node::gateway::settings;
use ::node::gateway::shutdown;
use platform::field;
use tokio::signal::unix;

use crate::args;
use crate::controller;

/// Checks the settings, or runs a gateway until it is stopped.
///
/// # Errors
///
/// Fails when the settings cannot be used or the gateway cannot start.
pub fn run(args: &args::Args) -> anyhow::Result<process::ExitCode> {
    let settings = settings::Settings::read(&args.settings)?;
    if args.check {
        let subject = format_args!("gateway {}", settings.node);
        return Ok(controller::report_valid(&args.settings, subject));
    }
    logging::start(settings.log, io::stdout())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, serve(&args.settings, settings))
}

async fn serve(
    file: &path::Path,
    settings: settings::Settings,
) -> anyhow::Result<process::ExitCode> {
    let mut signals = Signals::new()?;
    let name = settings.node.clone();
    let gateway = gateway::process::Gateway::start(settings).await?;
    log_start(name.as_str(), &gateway.state.settings.borrow().listen);
    signals.follow(file, &gateway).await;
    let arrived = gateway.earliest_arrival();
    log_writer::with_reserve(|| log_stopping(name.as_str(), arrived));
    let state = rc::Rc::clone(&gateway.state);
    let outcome = gateway.stop(arrived).await;
    log_writer::with_reserve(|| log_stop(name.as_str(), outcome, &state.metrics));
    Ok(controller::exit_code(outcome.is_done))
}

/// Logs the start of a stop whose signal arrived at `arrived` at the earliest.
fn log_stopping(name: &str, arrived: Instant) {
    log::info!(node = name, late_ms = field::whole_millis(arrived.elapsed()); "gateway-stopping");
}

fn log_stop(name: &str, outcome: shutdown::Outcome, metrics: &metrics::Metrics) {
    log::info!(
        node = name,
        done = outcome.is_done,
        unfinished = outcome.remainder.unfinished,
        undelivered = outcome.remainder.undelivered,
        unconfirmed = outcome.remainder.unconfirmed,
        requests = metrics.requests.get(),
        answered = metrics.answered.get(),
        control_bytes = metrics.control_bytes.get();
        "gateway-stopped"
    );
}

fn log_start(name: &str, listen: &settings::Listen) {
    let callers = listen.callers.to_string();
    let ready = listen.ready.to_string();
    let directory = listen.directory.to_string();
    let peers = listen.peers.to_string();
    log::info!(
        node = name,
        version = env!("CARGO_PKG_VERSION"),
        callers = callers.as_str(),
        ready = ready.as_str(),
        directory = directory.as_str(),
        peers = peers.as_str();
        "gateway-started"
    );
}

/// The signals that a gateway obeys.
struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }

    /// Reads the settings again at each hangup; returns at a signal to stop.
    async fn follow(&mut self, file: &path::Path, gateway: &gateway::process::Gateway) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(file, gateway),
            }
        }
    }
}

fn reload(file: &path::Path, gateway: &gateway::process::Gateway) {
    match settings::Settings::read(file) {
        Ok(settings) => gateway.reload(settings),
        Err(error) => {
            let error = format!("{error:#}");
            log::error!(error = error.as_str(); "settings-malformed");
        }
    }
}
