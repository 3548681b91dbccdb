//! `yokespoke demo --platform`: gateways against stand-ins of the users' platform.

mod callers;
mod deployment;
mod faults;
mod summary;

use std::time::Duration;

use crate::args;
use crate::exit;
use crate::printer;

/// Runs the demo.
///
/// # Errors
///
/// Fails when the deployment cannot be started, which says nothing about promises.
pub async fn run(args: &args::Demo) -> anyhow::Result<exit::Code> {
    printer::note("starting gateways, upstreams and the platform's store on loopback");
    let mut deployment = deployment::Deployment::start().await?;
    let length = Duration::from_secs(args.seconds);
    let results = faults::run(&mut deployment, length, args.seed).await?;
    let report = summary::Report::new(&results, &deployment.records());
    match args.json {
        true => printer::line(&serde_json::to_string(&report.as_json())?),
        false => printer::line(&report.as_text()),
    }
    Ok(match report.is_kept() {
        true => exit::Code::Done,
        false => exit::Code::Broken,
    })
}
