//! `yokespoke delete`.

use std::time::Duration;

use model::change;

use crate::args;
use crate::client;
use crate::commands::outcome;
use crate::exit;

/// Time to wait until the change is in force.
const WAIT: Duration = Duration::from_secs(15);

/// Deletes a resource.
///
/// # Errors
///
/// Fails when the node does not answer.
pub async fn run(args: &args::Delete) -> anyhow::Result<exit::Code> {
    let client = client::Client::new(&args.server)?;
    let operation = client::new_operation();
    let step = change::Step::Delete { kind: args.kind, name: args.name.clone() };
    let change = change::Change { operation: operation.clone(), expected: None, steps: vec![step] };
    let result = client.apply(&change).await?;
    outcome::report(&client, &operation, result, WAIT).await
}
