//! Runs a node that owns upstreams from its settings to its planned stop.

use std::io;
use std::process;
use std::time::Duration;

use ::node::common::log_writer;
use ::node::common::logging;
use ::node::owner::node;
use ::node::owner::settings;
use platform::field;
use tokio::signal::unix;

use crate::args;
use crate::controller;

/// Checks the settings, or runs a node until it is stopped.
///
/// # Errors
///
/// Fails when the settings cannot be used or the node cannot start.
pub fn run(args: &args::Args) -> anyhow::Result<process::ExitCode> {
    let settings = settings::Settings::read(&args.settings)?;
    if args.check {
        let subject = format_args!("node {}", settings.node);
        return Ok(controller::report_valid(&args.settings, subject));
    }
    logging::start(settings.log, io::stdout())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(&settings))
}

async fn serve(settings: &settings::Settings) -> anyhow::Result<process::ExitCode> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    // Gateways read their settings again; without a handler the process would end at once, with all it has in flight.
    let _hangup = unix::signal(unix::SignalKind::hangup())?;
    let node = node::Node::start(settings)?;
    let name = settings.node.as_str();
    log_start(name, &node.listen);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let arrived = node.earliest_arrival();
    let late = node.handle().now().saturating_duration_since(arrived);
    log_writer::with_reserve(|| log_stopping(name, late));
    let stopped = node.stop(arrived).await;
    log_writer::with_reserve(|| log_stop(name, stopped));
    Ok(controller::exit_code(stopped.is_done))
}

/// Logs the start of a stop whose signal may have been seen late by `late`.
fn log_stopping(name: &str, late: Duration) {
    log::info!(node = name, late_ms = field::whole_millis(late); "node-stopping");
}

fn log_stop(name: &str, stopped: node::Stopped) {
    let took = humantime::format_duration(stopped.took).to_string();
    log::info!(
        node = name,
        took = took.as_str(),
        done = stopped.is_done,
        unfinished = stopped.remainder.unfinished,
        undelivered = stopped.remainder.undelivered,
        unconfirmed = stopped.unconfirmed;
        "node-stopped"
    );
}

fn log_start(name: &str, listen: &settings::Listen) {
    let callers = listen.callers.to_string();
    let operators = listen.operators.to_string();
    let peers = listen.peers.to_string();
    log::info!(
        node = name,
        callers = callers.as_str(),
        operators = operators.as_str(),
        peers = peers.as_str();
        "node-started"
    );
}
