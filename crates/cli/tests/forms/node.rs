//! A node that gives fixed answers to the operators' calls.

use std::io::{BufRead as _, Read as _, Write as _};
use std::net;
use std::thread;

/// An answer of a node: method and path, status, body.
pub type Answer = (&'static str, u16, &'static str);

/// Starts a node that gives fixed answers to the operators' calls, each on its own connection.
pub fn start(answers: Vec<Answer>) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            answer(stream.expect("a connection comes"), &answers).expect("the call is answered");
        }
    });
    address
}

fn answer(mut stream: net::TcpStream, answers: &[Answer]) -> std::io::Result<()> {
    let mut reader = std::io::BufReader::new(stream.try_clone()?);
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let (mut length, mut is_admitted) = (0, false);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end().to_ascii_lowercase();
        match line.split_once(": ") {
            None => break,
            Some(("content-length", value)) => length = value.parse().unwrap_or(0),
            Some(("authorization", value)) => is_admitted = value == "bearer secret",
            Some(_) => {}
        }
    }
    reader.by_ref().take(length).read_to_end(&mut Vec::new())?;
    let call = first.trim_end().trim_end_matches(" HTTP/1.1");
    let known = answers.iter().find(|(known, _, _)| *known == call && is_admitted);
    let (_, status, body) = known.copied().unwrap_or(("", 404, r#"{"error":"no such call"}"#));
    write!(
        stream,
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}
