//! `yokespoke demo`: a deployment on this machine, with faults injected under load.
//!
//! It picks the demo of the role that is asked for: [`owners`] runs nodes that own upstreams,
//! [`gateways`] runs gateways. Both compare what callers saw with what the upstreams recorded. It
//! relies on the stand-ins for the platform and the upstreams.

mod gateways;
mod owners;

use std::io;

use node::common::logging;

use crate::args;
use crate::exit;

/// Shortest run in seconds in which every phase shows its effect; not measured.
const LEAST_SECONDS: u64 = 10;

/// Runs the demo of the role that `args` name.
///
/// # Errors
///
/// Fails when the deployment cannot be started, which says nothing about promises.
pub async fn run(args: &args::Demo) -> anyhow::Result<exit::Code> {
    anyhow::ensure!(args.seconds >= LEAST_SECONDS, "--seconds: expected at least {LEAST_SECONDS}");
    logging::start(logging::Level::Warn, io::stderr())?;
    match args.platform {
        true => gateways::run(args).await,
        false => owners::run(args).await,
    }
}
