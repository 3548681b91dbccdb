//! Answers of upstreams, right and broken, byte by byte; shared by the tests of both roles.

use standin::raw;

/// The body that an upstream means to send.
pub const BODY: &str = "twenty bytes exactly";

/// The same in chunks.
const CHUNKS: &str = "14\r\ntwenty bytes exactly\r\n0\r\n\r\n";

/// What callers are told of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// That it is broken, at once: its head shows it.
    Broken,
    /// That it is broken, or a part of it: what follows its head shows it.
    BrokenBody,
    /// The answer itself, with [`BODY`].
    Whole(u16),
    /// The answer itself, without a body.
    Empty(u16),
}

/// An answer: a status line, fields beside those that each answer has, and what follows the head.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Bytes before the status line.
    pub before: &'static str,
    /// The status line.
    pub status: &'static str,
    /// Lines of the head, each with its end.
    pub fields: &'static str,
    /// What follows the empty line.
    pub body: &'static str,
    /// What follows the answer.
    pub end: raw::End,
    /// What callers are told.
    pub expected: Expected,
}

impl Case {
    /// Returns the bytes of the answer, with `lines` of the head that prove whose answer it is.
    pub fn bytes(&self, lines: &str) -> Vec<u8> {
        let Self { before, status, fields, body, .. } = self;
        format!("{before}{status}\r\n{lines}{fields}\r\n{body}").into_bytes()
    }

    /// Returns what is wrong with the `bytes` that a caller was sent; `None` if nothing is. `is_refused` says
    /// whether they tell it that its answer is broken.
    pub fn fault(&self, bytes: &[u8], is_refused: impl Fn(&Told) -> bool) -> Option<String> {
        let told = Told::read(bytes);
        let is_right = match (self.expected, &told) {
            (Expected::BrokenBody, None) => true,
            (Expected::Broken | Expected::BrokenBody, Some(told)) => is_refused(told),
            (Expected::Whole(status), Some(told)) => {
                let is_framed = told.lengths.is_empty() || told.lengths == ["20"];
                told.status == status && told.body == BODY.as_bytes() && is_framed
            }
            (Expected::Empty(status), Some(told)) => {
                let is_framed = status != 204 || told.lengths.is_empty();
                told.status == status && told.body.is_empty() && is_framed
            }
            (_, None) => false,
        };
        (!is_right).then(|| format!("{:?}", String::from_utf8_lossy(bytes)))
    }

    /// Returns the answer to a request.
    pub fn answer(&self, lines: &str) -> raw::Answer {
        raw::Answer { bytes: self.bytes(lines), end: self.end }
    }
}

/// Most fields of an answer.
const MOST_FIELDS: usize = 64;

/// An answer as its caller reads it.
#[derive(Debug, PartialEq, Eq)]
pub struct Told {
    /// The status.
    pub status: u16,
    /// The values of all its `Content-Length` fields.
    pub lengths: Vec<String>,
    /// Everything after the head, without the framing of chunks.
    pub body: Vec<u8>,
}

impl Told {
    /// Reads all bytes of a connection; `None` if they are no whole answer.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let httparse::Status::Complete(head) = response.parse(bytes).ok()? else { return None };
        let values = |name: &str| -> Vec<String> {
            let fields = response.headers.iter().filter(|f| f.name.eq_ignore_ascii_case(name));
            fields.map(|f| String::from_utf8_lossy(f.value).into_owned()).collect()
        };
        let rest = &bytes[head..];
        let body = match values("transfer-encoding").as_slice() {
            [] => rest.to_vec(),
            [coding] if coding == "chunked" => unchunked(rest)?,
            _ => return None,
        };
        let (status, lengths) = (response.code?, values("content-length"));
        let has_body = !matches!(status, 204 | 304);
        let is_length = |length: &String| length.parse() == Ok(body.len());
        let is_whole = !has_body || lengths.iter().all(is_length);
        is_whole.then_some(Self { status, lengths, body })
    }
}

/// Returns the body in `chunks`; `None` if they are broken or do not end.
fn unchunked(mut chunks: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let httparse::Status::Complete((start, size)) = httparse::parse_chunk_size(chunks).ok()?
        else {
            return None;
        };
        let end = start + usize::try_from(size).ok()?;
        body.extend_from_slice(chunks.get(start..end)?);
        chunks = chunks.get(end..)?.strip_prefix(b"\r\n")?;
        if size == 0 {
            return chunks.is_empty().then_some(body);
        }
    }
}

const OK: &str = "HTTP/1.1 200 OK";
const LENGTH: &str = "Content-Length: 20\r\n";

const fn case(status: &'static str, fields: &'static str, body: &'static str) -> Case {
    let (end, expected) = (raw::End::Open, Expected::Broken);
    Case { before: "", status, fields, body, end, expected }
}

/// A status line before an answer that is right but for it.
const fn status(line: &'static str) -> Case {
    case(line, LENGTH, BODY)
}

/// A line in the head of an answer that is right but for it.
const fn line(fields: &'static str) -> Case {
    case(OK, fields, BODY)
}

/// The fields that say where the body ends.
const fn framing(fields: &'static str, body: &'static str) -> Case {
    case(OK, fields, body)
}

impl Case {
    const fn closed(self) -> Self {
        Self { end: raw::End::Close, ..self }
    }

    const fn after(self, before: &'static str) -> Self {
        Self { before, ..self }
    }

    const fn whole(self) -> Self {
        Self { expected: Expected::Whole(200), ..self }
    }

    const fn broken_body(self) -> Self {
        Self { expected: Expected::BrokenBody, ..self }
    }

    const fn told(self, expected: Expected) -> Self {
        Self { expected, ..self }
    }
}

/// An answer without anything unusual.
pub const SOUND: Case = framing(LENGTH, BODY).whole();

/// An answer whose head does not tell where its body ends, on a connection that stays open.
pub const UNKNOWN_END: Case = framing("Transfer-Encoding: chunke\r\n", CHUNKS);

/// An answer whose length is that of a part of its body.
pub const SHORT_LENGTH: Case = framing("Content-Length: 2\r\n", BODY).broken_body();

/// Answers that the protocol allows, however unusual.
const RIGHT: &[Case] = &[
    SOUND,
    framing(LENGTH, BODY).closed().whole(),
    framing("content-length:20\r\n", BODY).whole(),
    framing("Content-Length: \t 20 \t\r\n", BODY).whole(),
    framing("Content-Length: 020\r\n", BODY).whole(),
    framing("Transfer-Encoding: chunked\r\n", CHUNKS).whole(),
    framing("transfer-encoding: CHUNKED\r\n", CHUNKS).whole(),
    framing(
        "Transfer-Encoding: chunked\r\n",
        "14;x=y\r\ntwenty bytes exactly\r\n0\r\nX-T: 1\r\n\r\n",
    )
    .whole(),
    framing("Transfer-Encoding: chunked\r\nConnection: close\r\n", CHUNKS).closed().whole(),
    // Without a length, the end of the connection is the end of the body.
    framing("", BODY).closed().whole(),
    framing("Connection: close\r\n", BODY).closed().whole(),
    framing("Content-Lenght: 20\r\n", BODY).closed().whole(),
    case("HTTP/1.0 200 OK", LENGTH, BODY).closed().whole(),
    case("HTTP/1.0 200 OK", "", BODY).closed().whole(),
    // Interim responses come before an answer.
    framing(LENGTH, BODY).after("HTTP/1.1 100 Continue\r\n\r\n").whole(),
    framing(LENGTH, BODY).after("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n").whole(),
    framing(LENGTH, BODY)
        .after("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
        .whole(),
    framing(LENGTH, BODY).after("\r\n").whole(),
    line("X-Empty:\r\nContent-Length: 20\r\n").whole(),
    status("HTTP/1.1 200").whole(),
    status("HTTP/1.1 200 ").whole(),
    status("HTTP/1.1 299 Unusual").told(Expected::Whole(299)),
    status("HTTP/1.1 404 Not Found").told(Expected::Whole(404)),
    status("HTTP/1.1 500 Failed").told(Expected::Whole(500)),
    status("HTTP/1.1 599 Unusual").told(Expected::Whole(599)),
    case("HTTP/1.1 204 No Content", "", "").told(Expected::Empty(204)),
    case("HTTP/1.1 304 Not Modified", LENGTH, "").told(Expected::Empty(304)),
    case("HTTP/1.1 205 Reset Content", "Content-Length: 0\r\n", "").told(Expected::Empty(205)),
    framing("Content-Length: 0\r\n", "").told(Expected::Empty(200)),
];

/// Answers whose first line is no status line.
const STATUS_LINES: &[Case] = &[
    status("HTTP/1.1 000 OK"),
    status("HTTP/1.1 099 OK"),
    status("HTTP/1.1 2 OK"),
    status("HTTP/1.1 20 OK"),
    status("HTTP/1.1 2000 OK"),
    status("HTTP/1.1 2x0 OK"),
    status("HTTP/1.1 -200 OK"),
    status("HTTP/1.1 OK"),
    status("HTTP/1.1  200 OK"),
    status("HTTP/1.1\t200 OK"),
    status("HTTP/1.2 200 OK"),
    status("HTTP/2.0 200 OK"),
    status("HTP/1.1 200 OK"),
    status("200 OK"),
    status("HTTP/1.1 200 \x01"),
    status("HTTP/1.1 000 OK").closed(),
    status("HTP/1.1 200 OK").closed(),
];

/// Answers with a line in the head that is no field.
const LINES: &[Case] = &[
    line("no field\r\nContent-Length: 20\r\n"),
    line("Content-Length: 20\r\nno field\r\n"),
    line(": value\r\nContent-Length: 20\r\n"),
    line("X Y: value\r\nContent-Length: 20\r\n"),
    line("X-Y : value\r\nContent-Length: 20\r\n"),
    line("X\x01Y: value\r\nContent-Length: 20\r\n"),
    line("X\x7fY: value\r\nContent-Length: 20\r\n"),
    line("X\0Y: value\r\nContent-Length: 20\r\n"),
    line("X-Y: a\x01b\r\nContent-Length: 20\r\n"),
    line("X-Y: a\0b\r\nContent-Length: 20\r\n"),
    line("X-Y: a\r\n folded\r\nContent-Length: 20\r\n"),
    line("X-Y: a\r\n\tfolded\r\nContent-Length: 20\r\n"),
    line("Content-Length : 20\r\n"),
    line("Content Length: 20\r\n"),
    line("Content\x01Length: 20\r\n"),
    line("Content-Length 20\r\n"),
    line("no field\r\nContent-Length: 20\r\n").closed(),
    line("X Y: value\r\nContent-Length: 20\r\n").closed(),
    line("Transfer Encoding: chunked\r\n").closed(),
];

/// Answers with a length that is none, or that the body does not have.
const LENGTHS: &[Case] = &[
    framing("Content-Length: twenty\r\n", BODY),
    framing("Content-Length: +20\r\n", BODY),
    framing("Content-Length: -20\r\n", BODY),
    framing("Content-Length: 0x14\r\n", BODY),
    framing("Content-Length: 2 0\r\n", BODY),
    framing("Content-Length: 20 bytes\r\n", BODY),
    framing("Content-Length: 20;\r\n", BODY),
    framing("Content-Length: 20.0\r\n", BODY),
    framing("Content-Length:\r\n", BODY),
    framing("Content-Length: 20,\r\n", BODY),
    framing("Content-Length: 20, 21\r\n", BODY),
    framing("Content-Length: 20\r\nContent-Length: 21\r\n", BODY),
    framing("Content-Length: 18446744073709551616\r\n", BODY),
    framing("Content-Length: 99999999999999999999999\r\n", BODY),
    framing("Content-Length: twenty\r\n", BODY).closed(),
    framing("Content-Length: 200\r\n", BODY).closed().broken_body(),
    framing("Content-Length: 21\r\n", BODY).closed().broken_body(),
];

/// Answers with broken chunks.
const BROKEN_CHUNKS: &[Case] = &[
    framing("Transfer-Encoding: chunked\r\n", "zz\r\ntwenty bytes exactly\r\n0\r\n\r\n")
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "\r\ntwenty bytes exactly\r\n0\r\n\r\n")
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "1 4\r\ntwenty bytes exactly\r\n0\r\n\r\n")
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "-14\r\ntwenty bytes exactly\r\n0\r\n\r\n")
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "13\r\ntwenty bytes exactly\r\n0\r\n\r\n")
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "10000000000000014\r\ntwenty bytes exactly\r\n")
        .broken_body(),
    framing(
        "Transfer-Encoding: chunked\r\n",
        "14\r\ntwenty bytes exactly\r\n0\r\nno field\r\n\r\n",
    )
    .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "14\r\ntwenty bytes exactly\r\n")
        .closed()
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", "15\r\ntwenty bytes exactly\r\n0\r\n\r\n")
        .closed()
        .broken_body(),
    framing("Transfer-Encoding: chunked\r\n", BODY).closed().broken_body(),
];

/// Answers whose transfer coding is not `chunked` alone, so that the end of the body is unknown.
const CODINGS: &[Case] = &[
    UNKNOWN_END,
    framing("Transfer-Encoding: chunke\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: hunked\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: chunkedx\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: chunked, gzip\r\n", CHUNKS),
    framing("Transfer-Encoding: chunked, gzip\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: chunked, identity\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: identity\r\n", BODY).closed(),
    framing("Transfer-Encoding: chunked;q=1\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: \"chunked\"\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding:\r\n", CHUNKS),
    framing("Transfer-Encoding:\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: chunked,\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: chun ked\r\n", CHUNKS).closed(),
    framing("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", CHUNKS).closed(),
    // Codings that a gateway does not decode, and `chunked` twice.
    framing("Transfer-Encoding: gzip, chunked\r\n", CHUNKS),
    framing("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", CHUNKS),
    framing("Transfer-Encoding: chunked, chunked\r\n", CHUNKS),
    framing("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", CHUNKS),
    // Beside a length, and in a version that has no transfer codings.
    framing("Transfer-Encoding: chunke\r\nContent-Length: 20\r\n", CHUNKS),
    framing("Transfer-Encoding: chunke\r\nContent-Length: 30\r\n", CHUNKS),
    framing("Transfer-Encoding: chunked\r\nContent-Length: 20\r\n", CHUNKS),
    framing("Content-Length: 20\r\nTransfer-Encoding: chunked\r\n", BODY),
    case("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", CHUNKS).closed(),
    case("HTTP/1.1 500 Failed", "Transfer-Encoding: chunke\r\n", CHUNKS).closed(),
    case("HTTP/1.1 404 Not Found", "Transfer-Encoding: chunke\r\n", CHUNKS).closed(),
];

/// Answers that give their length more than once, and the same each time.
const REPEATED_LENGTHS: &[Case] = &[
    framing("Content-Length: 20,20\r\n", BODY).whole(),
    framing("Content-Length: 20, 20, 20\r\n", BODY).whole(),
    framing("Content-Length: 20\r\nContent-Length: 20\r\n", BODY).whole(),
    framing("Content-Length: 20\r\nContent-Length: 020\r\n", BODY).whole(),
];

/// Answers that switch to a protocol that was not asked for.
const SWITCHES: &[Case] = &[
    case("HTTP/1.1 101 Switching Protocols", "", ""),
    case("HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n", BODY),
    case("HTTP/1.1 101 Switching Protocols", LENGTH, BODY),
    case("HTTP/1.1 101 Switching Protocols", LENGTH, BODY).closed(),
];

/// Answers with a status that HTTP does not have.
const STATUSES: &[Case] = &[
    status("HTTP/1.1 600 OK"),
    status("HTTP/1.1 700 OK"),
    status("HTTP/1.1 999 OK"),
    status("HTTP/1.1 600 OK").closed(),
];

/// Answers with a body, or with what says that there is one, whose status allows none.
const BODIES: &[Case] = &[
    case("HTTP/1.1 204 No Content", LENGTH, BODY),
    case("HTTP/1.1 204 No Content", LENGTH, ""),
    case("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n", CHUNKS),
    case("HTTP/1.1 204 No Content", "Content-Length: twenty\r\n", ""),
    case("HTTP/1.1 204 No Content", "Content-Length: 0\r\n", "").told(Expected::Empty(204)),
    case("HTTP/1.1 205 Reset Content", LENGTH, BODY),
    case("HTTP/1.1 304 Not Modified", "Content-Length: twenty\r\n", ""),
    case("HTTP/1.1 304 Not Modified", "Content-Length: 20, 21\r\n", ""),
    case("HTTP/1.1 304 Not Modified", "Transfer-Encoding: chunke\r\n", ""),
];

/// Answers with more bytes after what the head says is the body, which begin no answer.
pub const SHORT_LENGTHS: &[Case] = &[
    SHORT_LENGTH,
    framing("Content-Length: 19\r\n", BODY).broken_body(),
    framing("Content-Length: 2\r\n", BODY).closed().broken_body(),
    framing("Content-Length: 2\r\nConnection: close\r\n", BODY).closed().broken_body(),
    framing("Content-Length: 0\r\n", BODY).broken_body(),
    // The head ends too early.
    framing("Content-Length: 20\r\n\r\nX-Y: value\r\n", BODY).broken_body(),
    case("HTTP/1.1 304 Not Modified", LENGTH, BODY).broken_body(),
];

/// Answers that are followed by another one, which belongs to no request.
const SECOND_ANSWERS: &[Case] = &[
    framing(LENGTH, "twenty bytes exactlyHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").whole(),
    framing(LENGTH, "twenty bytes exactlyHTTP/1.1 500 X\r\n\r\n").closed().whole(),
    framing(LENGTH, "twenty bytes exactlyHTTP/1.").whole(),
    framing(LENGTH, "twenty bytes exactly\r\nHTTP/1.1 200 OK\r\n\r\n").whole(),
    framing(
        "Transfer-Encoding: chunked\r\n",
        "14\r\ntwenty bytes exactly\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    )
    .whole(),
];

/// Returns the cases that their heads and bodies show to be right or broken.
pub fn all() -> Vec<Case> {
    let groups = [
        RIGHT,
        STATUS_LINES,
        LINES,
        LENGTHS,
        BROKEN_CHUNKS,
        CODINGS,
        REPEATED_LENGTHS,
        SWITCHES,
        STATUSES,
        BODIES,
        SECOND_ANSWERS,
    ];
    groups.concat()
}
