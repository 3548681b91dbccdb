//! What `yokespoked` does with its command line.

use std::io;
use std::process;

use ::node::common::logging;
use ::node::gateway;
use ::node::owner::node;
use ::node::owner::settings;
use tokio::signal::unix;

use crate::args;

/// Exit code for settings that cannot be used.
pub const BAD_SETTINGS: u8 = 2;

/// Exit code of a planned stop that had to cut something off.
const CUT_OFF: u8 = 3;

/// Checks the settings, or runs the node until it is told to stop.
///
/// # Errors
///
/// Fails when the settings cannot be used or the node cannot start.
pub fn run(args: &args::Args) -> anyhow::Result<process::ExitCode> {
    let text = std::fs::read_to_string(&args.settings).map_err(|error| {
        anyhow::anyhow!("cannot read settings {}: {error}", args.settings.display())
    })?;
    if gateway::settings::Settings::is_gateway(&text) {
        return run_gateway(args);
    }
    let settings = settings::Settings::read(&args.settings)?;
    if args.check {
        println!("{}: settings of node {} are valid", args.settings.display(), settings.node);
        return Ok(process::ExitCode::SUCCESS);
    }
    logging::start(settings.log, io::stdout())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(&settings))
}

fn run_gateway(args: &args::Args) -> anyhow::Result<process::ExitCode> {
    let settings = gateway::settings::Settings::read(&args.settings)?;
    if args.check {
        println!("{}: settings of gateway {} are valid", args.settings.display(), settings.node);
        return Ok(process::ExitCode::SUCCESS);
    }
    logging::start(settings.log, io::stdout())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, serve_gateway(args, settings))
}

async fn serve_gateway(
    args: &args::Args,
    settings: gateway::settings::Settings,
) -> anyhow::Result<process::ExitCode> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let name = settings.node.clone();
    let gateway = gateway::process::Gateway::start(settings).await?;
    let listen = gateway.state.settings.borrow().listen.clone();
    let callers = listen.callers.to_string();
    let ready = listen.ready.to_string();
    let directory = listen.directory.to_string();
    let peers = listen.peers.to_string();
    log::info!(
        node = name.as_str(),
        version = env!("CARGO_PKG_VERSION"),
        callers = callers.as_str(),
        ready = ready.as_str(),
        directory = directory.as_str(),
        peers = peers.as_str();
        "gateway-started"
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match gateway::settings::Settings::read(&args.settings) {
                Ok(settings) => gateway.reload(settings),
                Err(error) => {
                    let error = format!("{error:#}");
                    log::error!(error = error.as_str(); "settings-malformed");
                }
            },
        }
    }
    log::info!(node = name.as_str(); "gateway-stopping");
    let state = std::rc::Rc::clone(&gateway.state);
    let is_done = gateway.stop().await;
    log::info!(
        node = name.as_str(),
        done = is_done,
        requests = state.metrics.requests.get(),
        answered = state.metrics.answered.get(),
        control_bytes = state.metrics.control_bytes.get();
        "gateway-stopped"
    );
    Ok(match is_done {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::from(CUT_OFF),
    })
}

async fn serve(settings: &settings::Settings) -> anyhow::Result<process::ExitCode> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let node = node::Node::start(settings)?;
    let name = settings.node.as_str();
    let callers = node.listen.callers.to_string();
    let operators = node.listen.operators.to_string();
    let peers = node.listen.peers.to_string();
    log::info!(
        node = name,
        callers = callers.as_str(),
        operators = operators.as_str(),
        peers = peers.as_str();
        "node-started"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(node = name; "node-stopping");
    let (took, is_done) = node.stop().await;
    let took = humantime::format_duration(took).to_string();
    log::info!(node = name, took = took.as_str(), done = is_done; "node-stopped");
    Ok(match is_done {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::from(CUT_OFF),
    })
}
