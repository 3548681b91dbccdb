//! `yokespoke lookup`.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use crate::args;
use crate::exit;
use crate::printer;
use standin::client as http1;

/// Asks a node which nodes to use.
///
/// # Errors
///
/// Fails when the node does not answer.
pub async fn run(args: &args::Lookup) -> anyhow::Result<exit::Code> {
    let uri = format!("http://{}/yokespoke/v1/lookup?service={}", args.node, args.service);
    let request = Request::get(uri).body(Full::new(Bytes::new()))?;
    let response = http1::Client::new(None).send(request).await?;
    let value: Value = serde_json::from_slice(response.body())?;
    match response.status().is_success() {
        true => {
            printer::line(&serde_json::to_string_pretty(&value)?);
            Ok(exit::Code::Done)
        }
        false => {
            anyhow::bail!("{}", value["error"].as_str().unwrap_or("the look-up failed"))
        }
    }
}
