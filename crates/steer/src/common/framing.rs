//! Framing of a response: where its body ends (RFC 9112, section 6.3), decided from its head.
//!
//! Applies to every response that a node or the operators' tool reads, before any byte of the body is passed on or
//! believed. The HTTP library finds the end of a body by the same fields, but accepts some heads that this module
//! refuses: a spoilt transfer coding, for example, makes it take the framing of chunks for the body.

use std::fmt;

/// 101 Switching Protocols, which answers only a request for an upgrade.
const SWITCHING_PROTOCOLS: u16 = 101;

/// 204 No Content, a response without a body.
const NO_CONTENT: u16 = 204;

/// 205 Reset Content, whose body is empty.
const RESET_CONTENT: u16 = 205;

/// 304 Not Modified, a response without a body; its length is that of the response that it confirms.
const NOT_MODIFIED: u16 = 304;

/// Statuses of HTTP (RFC 9110, section 15).
const STATUSES: std::ops::Range<u16> = 100..600;

/// The transfer coding that marks the end of a body.
const CHUNKED: &[u8] = b"chunked";

/// What each response begins with, in the versions of HTTP that a connection may speak.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Bytes of a status line up to the one after the status, such as `HTTP/1.1 200 `.
pub const STATUS_LINE_BYTES: usize = 13;

/// What the framing of a response depends on beside the fields of its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// Status of the response.
    pub status: u16,
    /// Whether the response answers a `HEAD` request, and so has no body.
    pub is_to_head: bool,
}

/// Where the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body. The length is that of the body that another request would get; `None` if none is stated.
    NoBody(Option<u64>),
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// At the end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the value that a `Content-Length` field of the response has; `None` if it has no such field.
    #[must_use]
    pub fn content_length(self) -> Option<u64> {
        match self {
            Self::NoBody(length) => length,
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// What is wrong with the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The status is none of HTTP's.
    Status,
    /// It switches to another protocol, which no request asks for.
    SwitchedProtocols,
    /// Its transfer coding is not `chunked` alone.
    Coding,
    /// It has a length and a transfer coding.
    CodingAndLength,
    /// Its length is not a number, or it has different ones.
    Length,
    /// It has a body that its status does not allow.
    ForbiddenBody,
}

impl Fault {
    /// Returns the text for log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Status => "status out of range",
            Self::SwitchedProtocols => "switched protocols without a request",
            Self::Coding => "unknown transfer coding",
            Self::CodingAndLength => "length beside a transfer coding",
            Self::Length => "invalid length",
            Self::ForbiddenBody => "body with a status that allows none",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for Fault {}

/// Returns where the body of `message` ends. `codings` and `lengths` are the values of the `Transfer-Encoding` and
/// `Content-Length` fields, in order.
///
/// # Errors
///
/// Fails if the head contradicts itself or HTTP, so that the end of the body is unknown.
pub fn framing<'a>(
    message: Message,
    codings: impl Iterator<Item = &'a [u8]>,
    lengths: impl Iterator<Item = &'a [u8]>,
) -> Result<Framing, Fault> {
    match message.status {
        SWITCHING_PROTOCOLS => return Err(Fault::SwitchedProtocols),
        status if !STATUSES.contains(&status) => return Err(Fault::Status),
        _ => {}
    }
    let is_chunked = is_chunked(codings)?;
    let length = length(lengths)?;
    match (message.status, is_chunked, length) {
        (_, true, Some(_)) => Err(Fault::CodingAndLength),
        (NO_CONTENT, true, None) => Err(Fault::ForbiddenBody),
        (NO_CONTENT | RESET_CONTENT, _, Some(1..)) => Err(Fault::ForbiddenBody),
        // A length of 0 is redundant here, and HTTP allows none.
        (NO_CONTENT, _, _) => Ok(Framing::NoBody(None)),
        (NOT_MODIFIED, _, length) => Ok(Framing::NoBody(length)),
        (_, _, length) if message.is_to_head => Ok(Framing::NoBody(length)),
        (_, true, None) => Ok(Framing::Chunked),
        (_, false, Some(length)) => Ok(Framing::Length(length)),
        (_, false, None) => Ok(Framing::UntilClose),
    }
}

/// Returns whether `rest`, which a connection received after the end of a response, shows that the response may be
/// cut short: its stated length is too small, or its head ended too early.
///
/// Bytes that begin another response are a surplus, which belongs to no request and leaves the first one valid.
#[must_use]
pub fn is_cut_short(rest: &[u8]) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let lines = rest.iter().position(|byte| !is_line_end(byte)).unwrap_or_default();
    let start = &rest[lines..];
    let length = start.len().min(RESPONSE_START.len());
    !rest.is_empty() && start[..length] != RESPONSE_START[..length]
}

/// Returns the status of a response that begins with `start`; `None` if that begins no status line.
#[must_use]
pub fn status(start: &[u8; STATUS_LINE_BYTES]) -> Option<u16> {
    let (digits, after) = match start.strip_prefix(RESPONSE_START)? {
        [b'0'..=b'9', b' ', digits @ .., after] => (digits, after),
        _ => return None,
    };
    let status = number(digits).filter(|_| after.is_ascii_whitespace());
    status.and_then(|status| u16::try_from(status).ok()).filter(|status| STATUSES.contains(status))
}

/// Returns whether the body is chunked: `codings` name `chunked` once and nothing else.
///
/// No request allows another coding, and none is decoded.
fn is_chunked<'a>(codings: impl Iterator<Item = &'a [u8]>) -> Result<bool, Fault> {
    let mut codings = codings;
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(CHUNKED) => Ok(true),
        (Some(_), _) => Err(Fault::Coding),
    }
}

/// Returns the length that `values` state, each of which may be a list of equal numbers (RFC 9110, section 8.6).
fn length<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<u64>, Fault> {
    let numbers = values.flat_map(|value| value.split(|byte| *byte == b','));
    numbers.map(number).try_fold(None, |length, number| match (length, number) {
        (Some(length), Some(number)) if length != number => Err(Fault::Length),
        (_, None) => Err(Fault::Length),
        (_, number) => Ok(number),
    })
}

/// Returns the number that is written in decimal digits; `None` if `text` is anything else.
fn number(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    let is_number = digits.iter().all(u8::is_ascii_digit);
    // An empty text is refused by the parser, a sign by the check above.
    is_number.then(|| str::from_utf8(digits).ok()?.parse().ok())?
}
