//! Error answers of the resource API.

use axum::Json;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde_json::json;

/// An error answer: a status and a message for the person at the terminal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    status: StatusCode,
    message: String,
}

impl Problem {
    /// Makes an error answer.
    #[must_use]
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self { status, message: message.into() }
    }

    /// Makes the answer for something that is not there.
    #[must_use]
    pub fn missing(what: &str) -> Self {
        Self::new(StatusCode::NOT_FOUND, format!("{what} does not exist"))
    }

    /// Makes the answer of a node that cannot keep up.
    #[must_use]
    pub fn busy() -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "the node is busy; try again")
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        (self.status, Json(json!({ "error": self.message }))).into_response()
    }
}
