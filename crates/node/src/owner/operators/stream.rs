//! Watches: a stream of changes and standings, one JSON object a line.

use std::collections;
use std::sync;

use axum::body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::header;
use model::resource;
use model::revision;
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;

use crate::owner::operators::status;
use crate::owner::view;

/// Lines that wait for a slow reader; one that falls behind further is disconnected.
const LINES: usize = 1_024;

/// One line of a watch.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
enum Line<'a> {
    /// A resource stands like this.
    Put { item: &'a status::Item },
    /// A resource is gone.
    Delete { kind: resource::Kind, name: &'a str, revision: revision::Revision },
}

type Known = collections::BTreeMap<String, status::Item>;

/// Streams the resources of `kind`, first as they stand, then each change of any or its standing.
#[must_use]
pub fn watch(kind: resource::Kind, views: watch::Receiver<sync::Arc<view::View>>) -> Response {
    let (lines, stream) = mpsc::channel(LINES);
    tokio::spawn(follow(kind, views, lines));
    let body = body::Body::from_stream(ReceiverStream::new(stream));
    ([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response()
}

async fn follow(
    kind: resource::Kind,
    mut views: watch::Receiver<sync::Arc<view::View>>,
    lines: mpsc::Sender<Result<Bytes, std::io::Error>>,
) {
    let mut known = Known::new();
    loop {
        let view = sync::Arc::clone(&views.borrow_and_update());
        let current = items(kind, &view);
        for line in differences(kind, &known, &current, view.config.revision()) {
            if lines.try_send(Ok(line)).is_err() {
                return;
            }
        }
        known = current;
        tokio::select! {
            changed = views.changed() => if changed.is_err() { return },
            () = lines.closed() => return,
        }
    }
}

fn items(kind: resource::Kind, view: &view::View) -> Known {
    let resources = view.config.snapshot.resources().into_iter();
    let of_kind = resources.filter(|(_, r)| r.kind() == kind);
    of_kind
        .map(|(revision, r)| (r.name().to_owned(), status::Item::new(view, revision, r)))
        .collect()
}

fn differences(
    kind: resource::Kind,
    before: &Known,
    after: &Known,
    revision: revision::Revision,
) -> Vec<Bytes> {
    let put = after.iter().filter(|(name, item)| before.get(*name) != Some(item));
    let put = put.map(|(_, item)| Line::Put { item });
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    let gone = gone.map(|name| Line::Delete { kind, name, revision });
    put.chain(gone).filter_map(|line| encode(&line)).collect()
}

fn encode(line: &Line<'_>) -> Option<Bytes> {
    let mut bytes = serde_json::to_vec(line).ok()?;
    bytes.push(b'\n');
    Some(Bytes::from(bytes))
}
