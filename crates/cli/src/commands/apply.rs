//! `yokespoke apply` and `yokespoke diff`.

use std::time::Duration;

use model::change;
use node::common::store::accept;

use crate::args;
use crate::client;
use crate::commands::outcome;
use crate::declarations;
use crate::diff;
use crate::exit;
use crate::printer;

/// Makes the configuration equal to the declarations.
///
/// # Errors
///
/// Fails when the declarations are malformed or the node does not answer.
pub async fn run(args: &args::Apply) -> anyhow::Result<exit::Code> {
    let client = client::Client::new(&args.server)?;
    let (revision, diff) = compare(&client, &args.wanted).await?;
    printer::raw(&diff.text);
    if diff.steps.is_empty() {
        printer::line(&format!("nothing to change at revision {revision}"));
        return Ok(exit::Code::Done);
    }
    if args.dry_run {
        return Ok(exit::Code::Done);
    }
    let operation = args.operation.clone().unwrap_or_else(client::new_operation);
    let expected = Some(revision);
    let change = change::Change { operation: operation.clone(), expected, steps: diff.steps };
    let result = client.apply(&change).await?;
    if let accept::Outcome::Refused { refusal: model::refusal::Refusal::Conflict { .. } } = &result
    {
        let (now, diff) = compare(&client, &args.wanted).await?;
        printer::warning(&format!("another change came first; against revision {now} remains:"));
        printer::raw(&diff.text);
    }
    outcome::report(&client, &operation, result, Duration::from_secs(args.wait)).await
}

/// Shows what would change.
///
/// # Errors
///
/// Fails when the declarations are malformed or the node does not answer.
pub async fn show(args: &args::Diff) -> anyhow::Result<exit::Code> {
    let client = client::Client::new(&args.server)?;
    let (revision, diff) = compare(&client, &args.wanted).await?;
    printer::raw(&diff.text);
    printer::note(&format!("{} steps against revision {revision}", diff.steps.len()));
    Ok(exit::Code::Done)
}

async fn compare(
    client: &client::Client,
    args: &args::Wanted,
) -> anyhow::Result<(model::revision::Revision, diff::Diff)> {
    let wanted = declarations::read(std::slice::from_ref(&args.file))?;
    let (revision, standing) = client.list_all().await?;
    Ok((revision, diff::between(standing, wanted, args.prune)))
}
