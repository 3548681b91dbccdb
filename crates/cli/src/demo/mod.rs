//! `yokespoke demo`: a whole example on this machine, made to fail while its truth is counted.

mod example;
mod fleet;
mod hold;
mod phase;
mod phases;
mod platform;
mod report;
mod traffic;

use std::io;
use std::sync;
use std::time::Duration;

use node::common::logging;

use crate::args;
use crate::exit;
use crate::printer;

/// Shortest run in which every phase can show what it is for.
const LEAST_SECONDS: u64 = 10;

/// Runs the demo.
///
/// # Errors
///
/// Fails when the example cannot be started, which says nothing about promises.
pub async fn run(args: &args::Demo) -> anyhow::Result<exit::Code> {
    anyhow::ensure!(args.seconds >= LEAST_SECONDS, "--seconds: expected at least {LEAST_SECONDS}");
    logging::start(logging::Level::Warn, io::stderr())?;
    if args.platform {
        return platform::run(args).await;
    }
    let example = example::Example::load(args.example)?;
    printer::note(&format!("starting {} on loopback", example.name));
    let fleet = fleet::Fleet::start(&example).await?;
    if args.hold {
        return hold::run(&fleet, &example).await;
    }
    let fleet = sync::Arc::new(tokio::sync::Mutex::new(fleet));
    let length = Duration::from_secs(args.seconds);
    let report = phases::run(&fleet, &example, length, args.seed).await?;
    match args.json {
        true => printer::line(&serde_json::to_string(&report.as_json())?),
        false => printer::line(&report.as_text()),
    }
    Ok(match report.is_kept() {
        true => exit::Code::Done,
        false => exit::Code::Broken,
    })
}
