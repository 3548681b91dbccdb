//! Telling what became of a change.

use std::time::{Duration, Instant};

use node::common::store::accept;

use crate::client;
use crate::exit;
use crate::printer;

/// Time between two questions whether a change is in force.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// Prints the outcome, waits until an accepted change is in force, and returns the exit code.
///
/// # Errors
///
/// Fails when the node stops answering.
pub async fn report(
    client: &client::Client,
    operation: &str,
    outcome: accept::Outcome,
    wait: Duration,
) -> anyhow::Result<exit::Code> {
    match outcome {
        accept::Outcome::Accepted { revision } => {
            printer::line(&format!("accepted as revision {revision} (operation {operation})"));
            wait_in_force(client, operation, wait).await
        }
        accept::Outcome::Refused { refusal } => {
            printer::error(&anyhow::anyhow!("refused: {refusal}"));
            Ok(exit::Code::Refused)
        }
        accept::Outcome::Unknown { operation } => {
            printer::warning(&format!(
                "unknown: the store's answer was lost; ask about operation {operation}, or apply \
                 again with --operation {operation}"
            ));
            Ok(exit::Code::Unknown)
        }
        accept::Outcome::Unavailable => {
            printer::error(&anyhow::anyhow!("the store cannot be reached; nothing was changed"));
            Ok(exit::Code::Failed)
        }
    }
}

async fn wait_in_force(
    client: &client::Client,
    operation: &str,
    wait: Duration,
) -> anyhow::Result<exit::Code> {
    let began = Instant::now();
    while began.elapsed() < wait {
        match client.operation(operation).await? {
            Some(found) if found.in_force => {
                let seconds = began.elapsed().as_secs_f64();
                printer::line(&format!("in force on every node after {seconds:.1} s"));
                return Ok(exit::Code::Done);
            }
            _ => tokio::time::sleep(ASK_EVERY).await,
        }
    }
    if wait.is_zero() {
        return Ok(exit::Code::Done);
    }
    let found = client.operation(operation).await?;
    let lagging = found.map_or_else(String::new, |f| client::names(&f.lagging));
    printer::warning(&format!("accepted, but not yet in force on: {lagging}"));
    Ok(exit::Code::Unknown)
}
