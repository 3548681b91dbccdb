//! `yokespoke release`.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use node::gateway::control;
use standin::client as http1;

use crate::args;
use crate::exit;
use crate::printer;

/// Asks a gateway to let requests through again.
///
/// # Errors
///
/// Fails when the gateway does not answer, or holds no such requests back.
pub async fn run(args: &args::Release) -> anyhow::Result<exit::Code> {
    let (gateway, fingerprint) = (args.gateway, args.fingerprint);
    let uri = format!("http://{gateway}{}?{fingerprint}", control::RELEASE);
    let request = Request::post(uri).body(Full::new(Bytes::new()))?;
    let response = http1::Client::new(None).send(request).await?;
    match response.status() {
        StatusCode::OK => {
            printer::line(&format!("released {fingerprint}"));
            Ok(exit::Code::Done)
        }
        StatusCode::NOT_FOUND => {
            anyhow::bail!(
                "{gateway} holds no requests {fingerprint} back (`quarantine` of its state lists them)"
            )
        }
        status => anyhow::bail!("{gateway} answered {status}"),
    }
}
