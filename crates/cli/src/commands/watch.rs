//! `yokespoke watch`.

use http_body_util::BodyExt as _;
use serde_json::Value;

use crate::args;
use crate::client;
use crate::exit;
use crate::printer;

/// Longest line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1_024 * 1_024;

/// Follows the resources of a kind until the node ends the watch.
///
/// # Errors
///
/// Fails when the node does not answer or the stream breaks.
pub async fn run(args: &args::Watch) -> anyhow::Result<exit::Code> {
    let client = client::Client::new(&args.server)?;
    let mut body = client.watch(args.kind).await?.into_body();
    let mut rest = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let mut searched = rest.len();
        rest.extend_from_slice(&data);
        while let Some(end) = rest[searched..].iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = rest.drain(..=searched + end).collect();
            print(&line, args.json)?;
            searched = 0;
        }
        anyhow::ensure!(
            rest.len() <= MAX_LINE_BYTES,
            "the node sent a line of more than {} MB",
            MAX_LINE_BYTES >> 20
        );
    }
    Ok(exit::Code::Done)
}

fn print(line: &[u8], json: bool) -> anyhow::Result<()> {
    if json {
        printer::raw(std::str::from_utf8(line)?);
        return Ok(());
    }
    let value: Value = serde_json::from_slice(line)?;
    let text = match value["type"].as_str() {
        Some("delete") => format!("{} deleted", value["name"].as_str().unwrap_or_default()),
        _ => describe(&value["item"]),
    };
    printer::line(&text);
    Ok(())
}

fn describe(item: &Value) -> String {
    let name = item["resource"]["name"].as_str().unwrap_or_default();
    let revision = &item["revision"];
    let lagging = item["lagging"].as_array().map_or(0, Vec::len);
    match item["in_force"].as_bool() {
        Some(true) => format!("{name} revision {revision} in force"),
        _ => format!("{name} revision {revision} accepted, {lagging} nodes lag"),
    }
}
