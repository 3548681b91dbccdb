//! Durations written as a number followed by `ms` or `s`.
//!
//! Gateway settings and the platform's documents use this format; declarations use that of
//! `humantime`.

use std::time::Duration;

use serde::{Deserialize as _, Deserializer, Serializer, de};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Longest accepted duration: one day. It keeps sums of durations small.
const MAX_SECONDS: f64 = 86_400.0;

/// Parses a duration such as `1500ms` or `2.5s`.
#[must_use]
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0 / MILLIS_PER_SECOND),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * unit;
    let is_valid = seconds.is_finite() && (0.0..=MAX_SECONDS).contains(&seconds);
    is_valid.then(|| Duration::from_secs_f64(seconds))
}

/// Formats a duration in whole milliseconds.
#[must_use]
pub fn format(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// Deserializes a duration field.
///
/// # Errors
///
/// Returns an error if the field is not a string of a number and a unit.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text).ok_or_else(|| de::Error::custom(format!("`{text}` is not a duration like 2.5s")))
}

/// Deserializes a duration field that may be missing or null.
///
/// # Errors
///
/// Returns an error if the field is present and is not a duration.
pub fn optional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    let Some(text) = Option::<String>::deserialize(deserializer)? else { return Ok(None) };
    let malformed = || de::Error::custom(format!("`{text}` is not a duration like 2.5s"));
    parse(&text).map(Some).ok_or_else(malformed)
}

/// Serializes a duration field.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format(*duration))
}
