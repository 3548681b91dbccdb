//! A client of the resource API.

use std::fs;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use model::change;
use model::id;
use model::resource;
use model::revision;
use node::common::store::accept;
use node::owner::operators::status;
use serde::Deserialize;

use crate::args;
use standin::client as http1;

/// Longest time for an answer; a change waits for the store.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// A client of a node's address for operators.
#[derive(Debug)]
pub struct Client {
    base: String,
    token: String,
    http: http1::Client,
}

/// The resources of a kind.
#[derive(Debug, Deserialize)]
pub struct List {
    /// The revision of the whole configuration.
    pub revision: revision::Revision,
    /// The resources.
    pub items: Vec<status::Item>,
}

#[derive(Debug, Deserialize)]
struct Error {
    error: String,
}

impl Client {
    /// Makes a client by the command line.
    ///
    /// # Errors
    ///
    /// Fails when the token's file cannot be read.
    pub fn new(server: &args::Server) -> anyhow::Result<Self> {
        let file = &server.token_file;
        let token = fs::read_to_string(file)
            .with_context(|| format!("cannot read the token in {}", file.display()))?;
        Ok(Self::with_token(server.server, token.trim()))
    }

    /// Makes a client with a token at hand.
    #[must_use]
    pub fn with_token(server: std::net::SocketAddr, token: &str) -> Self {
        let base = format!("http://{server}/v1");
        Self { base, token: token.to_owned(), http: http1::Client::new(None) }
    }

    /// Lists the resources of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer as expected.
    pub async fn list(&self, kind: resource::Kind) -> anyhow::Result<List> {
        self.get(&format!("/{}", kind.plural())).await
    }

    /// Lists all resources.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer as expected.
    pub async fn list_all(&self) -> anyhow::Result<(revision::Revision, Vec<resource::Resource>)> {
        let mut revision = revision::Revision(0);
        let mut all = Vec::new();
        for kind in resource::Kind::ALL {
            let list = self.list(kind).await?;
            revision = list.revision;
            all.extend(list.items.into_iter().map(|item| item.resource));
        }
        Ok((revision, all))
    }

    /// Shows one resource.
    ///
    /// # Errors
    ///
    /// Fails when it does not exist or the node does not answer as expected.
    pub async fn show(&self, kind: resource::Kind, name: &str) -> anyhow::Result<status::Item> {
        self.get(&format!("/{}/{name}", kind.plural())).await
    }

    /// Returns a node's state.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer as expected.
    pub async fn state(&self) -> anyhow::Result<serde_json::Value> {
        self.get("/state").await
    }

    /// Returns what became of an operation; none when the node does not know it.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer as expected.
    pub async fn operation(&self, operation: &str) -> anyhow::Result<Option<status::Operation>> {
        let request =
            self.request(Method::GET, &format!("/operations/{operation}"), Bytes::new())?;
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => parse(&response).map(Some),
        }
    }

    /// Asks for a change.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer as expected; the outcome itself is no error.
    pub async fn apply(&self, change: &change::Change) -> anyhow::Result<accept::Outcome> {
        let body = Bytes::from(serde_json::to_vec(change)?);
        let response = self.send(self.request(Method::POST, "/changes", body)?).await?;
        match serde_json::from_slice(response.body()) {
            Ok(outcome) => Ok(outcome),
            Err(_) => parse(&response),
        }
    }

    /// Opens a watch.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer as expected.
    pub async fn watch(
        &self,
        kind: resource::Kind,
    ) -> anyhow::Result<http::Response<hyper::body::Incoming>> {
        let path = format!("/{}?watch=true", kind.plural());
        let response = self.http.open(self.request(Method::GET, &path, Bytes::new())?).await?;
        anyhow::ensure!(response.status().is_success(), "the node answered {}", response.status());
        Ok(response)
    }

    async fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> anyhow::Result<T> {
        let response = self.send(self.request(Method::GET, path, Bytes::new())?).await?;
        parse(&response)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        Ok(request.body(Full::new(body))?)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> anyhow::Result<http::Response<Bytes>> {
        let answer = tokio::time::timeout(ANSWER_TIME, self.http.send(request)).await;
        let answer = answer.map_err(|_| anyhow::anyhow!("the node did not answer in 30 s"))?;
        answer.with_context(|| format!("cannot reach the node at {}", self.base))
    }
}

fn parse<T: for<'de> Deserialize<'de>>(response: &http::Response<Bytes>) -> anyhow::Result<T> {
    if response.status().is_success() {
        return serde_json::from_slice(response.body()).context("the node's answer is malformed");
    }
    let error: Result<Error, _> = serde_json::from_slice(response.body());
    let message = error.map_or_else(|_| "no reason given".to_owned(), |e| e.error);
    anyhow::bail!("the node answered {}: {message}", response.status())
}

/// Returns a name for an operation that no other has.
#[must_use]
pub fn new_operation() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Returns the nodes as one line.
#[must_use]
pub fn names(nodes: &[id::Node]) -> String {
    nodes.iter().map(id::Node::as_str).collect::<Vec<_>>().join(", ")
}
