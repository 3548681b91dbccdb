//! `yokespoke dump`.

use crate::args;
use crate::client;
use crate::exit;
use crate::printer;

/// Shows a node's state.
///
/// # Errors
///
/// Fails when the node does not answer.
pub async fn run(args: &args::Dump) -> anyhow::Result<exit::Code> {
    let state = client::Client::new(&args.server)?.state().await?;
    match args.json {
        true => printer::line(&serde_json::to_string_pretty(&state)?),
        false => printer::raw(&serde_yaml_ng::to_string(&state)?),
    }
    Ok(exit::Code::Done)
}
