//! Where the body of a response ends, by its head.

use steer::common::framing::{self, Fault, Framing, Message};

const OK: Message = Message { status: 200, is_to_head: false };

/// Applies the rule to a head with these fields.
fn framing_of(message: Message, codings: &[&str], lengths: &[&str]) -> Result<Framing, Fault> {
    let bytes = |values: &[&str]| -> Vec<Vec<u8>> {
        values.iter().map(|value| value.as_bytes().to_vec()).collect()
    };
    let (codings, lengths) = (bytes(codings), bytes(lengths));
    framing::framing(message, codings.iter().map(Vec::as_slice), lengths.iter().map(Vec::as_slice))
}

/// Guards against taking the frames of chunks for a body that ends with its connection.
#[test]
fn a_coding_other_than_chunked_is_a_fault() {
    for coding in [
        "",
        "chunke",
        "chunkedx",
        "chunked,",
        "chunked;a=b",
        "gzip",
        "gzip, chunked",
        "chunked, chunked",
    ] {
        assert_eq!(framing_of(OK, &[coding], &[]), Err(Fault::Coding), "{coding:?}");
        assert_eq!(framing_of(OK, &[coding], &["20"]), Err(Fault::Coding), "{coding:?}");
    }
    assert_eq!(framing_of(OK, &["chunked", "chunked"], &[]), Err(Fault::Coding));
    assert_eq!(framing_of(OK, &["gzip", "chunked"], &[]), Err(Fault::Coding));
    assert_eq!(framing_of(OK, &["chunked"], &["20"]), Err(Fault::CodingAndLength));
}

/// Guards against refusing what the protocol allows.
#[test]
fn each_way_to_end_a_body_is_allowed() {
    for coding in ["chunked", "CHUNKED", " Chunked\t"] {
        assert_eq!(framing_of(OK, &[coding], &[]), Ok(Framing::Chunked), "{coding:?}");
    }
    assert_eq!(framing_of(OK, &[], &["20"]), Ok(Framing::Length(20)));
    assert_eq!(framing_of(OK, &[], &["0"]), Ok(Framing::Length(0)));
    assert_eq!(framing_of(OK, &[], &[]), Ok(Framing::UntilClose));
}

/// Guards against waiting for the body of a response that has none.
#[test]
fn a_response_to_head_has_no_body() {
    let message = Message { is_to_head: true, ..OK };
    assert_eq!(framing_of(message, &[], &["20"]), Ok(Framing::NoBody(Some(20))));
    assert_eq!(framing_of(message, &["chunked"], &[]), Ok(Framing::NoBody(None)));
    assert_eq!(framing_of(message, &["chunke"], &[]), Err(Fault::Coding));
}

/// Guards against passing on a length that callers cannot read, and against refusing one that is only repeated.
#[test]
fn a_repeated_length_is_one_length() {
    for lengths in [&["20,20"][..], &["20", "20"], &["020"], &[" 20 , 20\t"], &["20, 020", "20"]] {
        let framing = framing_of(OK, &[], lengths);
        assert_eq!(framing, Ok(Framing::Length(20)), "{lengths:?}");
        assert_eq!(framing.ok().and_then(Framing::content_length), Some(20));
    }
    let broken =
        ["", "x", "+20", "-20", "0x14", "2 0", "20,", ",20", "20,21", "18446744073709551616"];
    for length in broken {
        assert_eq!(framing_of(OK, &[], &[length]), Err(Fault::Length), "{length:?}");
    }
    assert_eq!(framing_of(OK, &[], &["20", "21"]), Err(Fault::Length));
}

/// Guards against a switch to a protocol that no request asked for.
#[test]
fn a_switch_of_protocols_is_a_fault() {
    let message = Message { status: 101, is_to_head: false };
    assert_eq!(framing_of(message, &[], &["20"]), Err(Fault::SwitchedProtocols));
}

/// Guards against passing on a status that HTTP does not have.
#[test]
fn a_status_out_of_range_is_a_fault() {
    for status in (0..100).chain(600..=999) {
        let message = Message { status, is_to_head: false };
        assert_eq!(framing_of(message, &[], &["20"]), Err(Fault::Status), "{status}");
    }
    for status in [200, 299, 400, 404, 500, 599] {
        let message = Message { status, is_to_head: false };
        assert_eq!(framing_of(message, &[], &["20"]), Ok(Framing::Length(20)), "{status}");
    }
}

/// Guards against dropping a body that a spoilt status hides, and against a length that HTTP forbids.
#[test]
fn a_status_without_a_body_allows_none() {
    let of = |status| Message { status, is_to_head: false };
    for (status, codings, lengths) in
        [(204, &[][..], &["20"][..]), (204, &["chunked"], &[]), (205, &[], &["20"])]
    {
        let framing = framing_of(of(status), codings, lengths);
        assert_eq!(framing, Err(Fault::ForbiddenBody), "{status} {codings:?} {lengths:?}");
    }
    assert_eq!(framing_of(of(204), &[], &["0"]), Ok(Framing::NoBody(None)));
    assert_eq!(framing_of(of(204), &[], &[]), Ok(Framing::NoBody(None)));
    assert_eq!(framing_of(of(205), &[], &["0"]), Ok(Framing::Length(0)));
    assert_eq!(framing_of(of(304), &[], &["20"]), Ok(Framing::NoBody(Some(20))));
    for status in [204, 205, 304] {
        assert_eq!(framing_of(of(status), &[], &["x"]), Err(Fault::Length), "{status}");
        assert_eq!(framing_of(of(status), &["chunke"], &[]), Err(Fault::Coding), "{status}");
    }
}

/// Guards against a status that is read from bytes that are no response.
#[test]
fn a_status_is_read_from_a_status_line_only() {
    for (start, status) in [
        (b"HTTP/1.1 200 ", Some(200)),
        (b"HTTP/1.0 503\r", Some(503)),
        (b"HTTP/1.1 599\n", Some(599)),
        (b"HTTP/1.1 2000", None),
        (b"HTTP/1.1 000 ", None),
        (b"HTTP/1.1 600 ", None),
        (b"HTTP/1.1  20 ", None),
        (b"HTTP/1.x 200 ", None),
        (b"HTTP/2.0 200 ", None),
        (b"xxxxxxxxx200 ", None),
    ] {
        assert_eq!(framing::status(start), status, "{:?}", start.escape_ascii().to_string());
    }
}

/// Guards against taking a part of a body for the whole, and a second response for such a rest.
#[test]
fn bytes_that_begin_no_response_show_that_one_is_cut_short() {
    for rest in
        ["x", "rest of the body", "\r\n", "\n", "HTTP/2", "http/1.1 200", "\r\nHTP", " HTTP/1.1"]
    {
        assert!(framing::is_cut_short(rest.as_bytes()), "{rest:?}");
    }
    for rest in ["", "H", "HTTP", "HTTP/1.", "HTTP/1.1 200 OK", "\r\nHTTP/1.0", "\n\nHT"] {
        assert!(!framing::is_cut_short(rest.as_bytes()), "{rest:?}");
    }
}
