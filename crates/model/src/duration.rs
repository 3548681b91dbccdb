//! Durations as text: a number followed by `ms` or `s`.
//!
//! The form of gateways' settings and of the platform's documents; the declarations' own documents
//! have `humantime`'s. Owns the bound on what is accepted.

use std::time::Duration;

use serde::{Deserialize as _, Deserializer, Serializer, de};

/// Milliseconds in a second; a unit.
const MILLIS: f64 = 1_000.0;

/// Longest duration that is accepted, in seconds: a day. Not measured; it keeps sums of durations small.
const LONGEST_SECONDS: f64 = 86_400.0;

/// Reads a duration such as `1500ms` or `2.5s`.
#[must_use]
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0 / MILLIS),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * unit;
    let is_sound = seconds.is_finite() && (0.0..=LONGEST_SECONDS).contains(&seconds);
    is_sound.then(|| Duration::from_secs_f64(seconds))
}

/// Writes a duration in whole milliseconds.
#[must_use]
pub fn format(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// Reads a duration field.
///
/// # Errors
///
/// Fails when the field is not a text of a number and a unit.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text).ok_or_else(|| de::Error::custom(format!("`{text}` is not a duration like 2.5s")))
}

/// Reads a duration field that may be left out or null.
///
/// # Errors
///
/// Fails when the field is given and is not a duration.
pub fn optional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    let Some(text) = Option::<String>::deserialize(deserializer)? else { return Ok(None) };
    let malformed = || de::Error::custom(format!("`{text}` is not a duration like 2.5s"));
    parse(&text).map(Some).ok_or_else(malformed)
}

/// Writes a duration field.
///
/// # Errors
///
/// Fails when the serializer does.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format(*duration))
}
