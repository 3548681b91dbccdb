//! Answers without end: bytes that an upstream sends until its caller closes the connection.

use std::time::Duration;

use ::platform::headers;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::platform::upstream;

/// Bytes written at once at full speed.
const BLOCK: usize = 64 * 1_024;

/// Bytes after which falling speed is low.
const FALLING_AFTER: usize = 2 * upstream::LONG;

/// Time between two pieces at low speed, which makes a few bytes a second.
const PAUSE: Duration = Duration::from_millis(250);

/// An answer without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endless {
    /// Which part of the answer has no end.
    pub part: Part,
    /// How fast it is sent.
    pub speed: Speed,
}

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The status line.
    StatusLine,
    /// Header lines.
    HeaderLines,
    /// The value of one header.
    HeaderValue,
    /// Interim responses before the head.
    Interim,
    /// Empty lines before the head.
    EmptyLines,
    /// Bytes that are no HTTP, in place of a head.
    Garbage,
    /// Further answers after a whole one.
    Surplus,
    /// Bytes after a whole answer that begin no other one.
    Excess,
    /// The body, by a length far beyond any body.
    Length,
    /// The size of a chunk, which is zeros.
    ChunkSize,
    /// The extension of a chunk's size.
    ChunkExtension,
    /// Chunks, none of which is the last.
    Chunks,
    /// Trailers after the last chunk.
    Trailers,
    /// A body that the end of the connection would end.
    UntilClose,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 14] = [
        Self::StatusLine,
        Self::HeaderLines,
        Self::HeaderValue,
        Self::Interim,
        Self::EmptyLines,
        Self::Garbage,
        Self::Surplus,
        Self::Excess,
        Self::Length,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Chunks,
        Self::Trailers,
        Self::UntilClose,
    ];

    /// Returns whether the part belongs to the head, or comes in its place.
    #[must_use]
    pub fn is_in_head(self) -> bool {
        matches!(
            self,
            Self::StatusLine
                | Self::HeaderLines
                | Self::HeaderValue
                | Self::Interim
                | Self::EmptyLines
                | Self::Garbage
        )
    }

    /// Returns whether the part comes after a whole answer.
    #[must_use]
    pub fn is_after_answer(self) -> bool {
        matches!(self, Self::Surplus | Self::Excess)
    }

    /// Returns what is written at once at full speed.
    fn block(self, piece: &str) -> String {
        let piece = match self {
            Self::Chunks => format!("400\r\n{}\r\n", "x".repeat(0x400)),
            _ => piece.to_owned(),
        };
        piece.repeat(BLOCK / piece.len())
    }

    /// Returns the bytes before the part, and those that are repeated without end.
    fn bytes(self, id: &str, seal: &str) -> (String, &'static str) {
        let head = |framing: &str| {
            format!("HTTP/1.1 200 OK\r\n{}: {id}\r\n{seal}{framing}\r\n", headers::REQUEST_ID)
        };
        let whole = || format!("{}whole", head("content-length: 5\r\n"));
        let chunked = |start: &str| format!("{}{start}", head("transfer-encoding: chunked\r\n"));
        match self {
            Self::StatusLine => (String::from("HTTP/1.1 200 "), "x"),
            Self::HeaderLines => (String::from("HTTP/1.1 200 OK\r\n"), "x-more: y\r\n"),
            Self::HeaderValue => (String::from("HTTP/1.1 200 OK\r\nx-more: "), "y"),
            Self::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::EmptyLines => (String::new(), "\r\n"),
            Self::Garbage => (String::new(), "\0\x01\x02"),
            Self::Surplus => (whole(), "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
            Self::Excess => (whole(), "excess "),
            Self::Length => (head("content-length: 999999999999999\r\n"), "x"),
            Self::ChunkSize => (chunked("5\r\nhello\r\n"), "0"),
            Self::ChunkExtension => (chunked("5\r\nhello\r\n5;"), "x"),
            Self::Chunks => (chunked(""), "5\r\nhello\r\n"),
            Self::Trailers => (chunked("5\r\nhello\r\n0\r\n"), "x-more: y\r\n"),
            Self::UntilClose => (head(""), "x"),
        }
    }
}

/// How fast bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speed {
    /// As fast as the caller reads.
    Full,
    /// One piece each 250 ms.
    Low,
    /// At full speed for more bytes than a gateway buffers, and then at low speed.
    Falling,
}

/// Sends an answer to the request `id` until the caller closes the connection.
///
/// A caller that only stops reading is waited for.
pub async fn write(stream: &mut TcpStream, endless: Endless, id: &str, seal: &str) {
    let (start, piece) = endless.part.bytes(id, seal);
    let block = endless.part.block(piece);
    let mut sent = 0;
    let mut wrote = stream.write_all(start.as_bytes()).await;
    while wrote.is_ok() {
        let next = match endless.speed {
            Speed::Full => &block,
            Speed::Falling if sent < FALLING_AFTER => &block,
            Speed::Low | Speed::Falling => {
                tokio::time::sleep(PAUSE).await;
                piece
            }
        };
        sent += next.len();
        wrote = stream.write_all(next.as_bytes()).await;
    }
}
