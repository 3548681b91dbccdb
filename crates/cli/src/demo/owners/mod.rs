//! `yokespoke demo`: nodes that own upstreams run one of the examples on loopback.
//!
//! It owns the example, the nodes, the callers and the report; it relies on the stand-ins for the
//! store, the VM list and the upstreams.

mod example;
mod fleet;
mod hold;
mod phase;
mod phases;
mod report;
mod sampler;
mod shift;
mod traffic;

use std::sync;
use std::time::Duration;

use crate::args;
use crate::exit;
use crate::printer;

/// Runs the demo.
///
/// # Errors
///
/// Fails when the example cannot be started, which says nothing about promises.
pub async fn run(args: &args::Demo) -> anyhow::Result<exit::Code> {
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
