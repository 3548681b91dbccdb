//! Odd values that other writers leave in the store, drawn; shared by the tests of both roles.

use quickcheck::{Arbitrary as _, Gen};
use serde_json::{Map, Value, json};

/// Depths of nesting, below and beyond what JSON readers allow.
const DEPTHS: [usize; 4] = [100, 127, 10_000, 100_000];

/// Length of a long text, in bytes.
const LONG: usize = 100_000;

/// Bytes of a value that messages show.
const SHOWN: usize = 80;

/// Numbers at and beyond the limits of what holds them, as they are written.
const NUMBERS: [&str; 16] = [
    "0",
    "-1",
    "-0.0",
    "1e400",
    "-1e400",
    "1e-400",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775809",
    "340282366920938463463374607431768211456",
    "0.1",
    "1e19",
];

/// Texts where a number, a time, an address or a name is expected. Addresses are of this machine.
const TEXTS: [&str; 24] = [
    "",
    " ",
    "\u{0}",
    "\u{1f4a9}",
    "null",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:99999",
    "127.0.0.1",
    "127.0.0.1:-1",
    "0.0.0.0:0",
    "[::]:0",
    "[::1]:1",
    "0ms",
    "-1s",
    "1e400s",
    "NaNs",
    "infs",
    "86400s",
    "86401s",
    "18446744073709551615s",
    "ready",
    "../../op/config",
];

/// Returns the bytes of a drawn value: anything, or `sound` with one part that is odd.
pub fn value(draw: &mut Gen, sound: &Value) -> Vec<u8> {
    match u8::arbitrary(draw) % 8 {
        0 => odd(draw).into_bytes(),
        1 => nested(draw).into_bytes(),
        2 => Vec::arbitrary(draw),
        3 => {
            let text = sound.to_string();
            let length = usize::arbitrary(draw) % text.len();
            text.into_bytes()[..length].to_vec()
        }
        _ => with_odd_part(draw, sound).into_bytes(),
    }
}

/// Returns the first characters of a value, for messages.
pub fn beginning(value: &[u8]) -> String {
    let shown = String::from_utf8_lossy(&value[..value.len().min(SHOWN)]);
    format!("{shown} ({} bytes)", value.len())
}

/// Returns a drawn value as JSON, or almost.
fn odd(draw: &mut Gen) -> String {
    match u8::arbitrary(draw) % 8 {
        0 => "null".to_owned(),
        1 => bool::arbitrary(draw).to_string(),
        2 | 3 => (*draw.choose(&NUMBERS).expect("there are numbers")).to_owned(),
        4 | 5 => json!(draw.choose(&TEXTS).expect("there are texts")).to_string(),
        6 => json!("x".repeat(LONG)).to_string(),
        _ => nested(draw),
    }
}

/// Returns lists or objects in each other, closed or not.
fn nested(draw: &mut Gen) -> String {
    let depth = *draw.choose(&DEPTHS).expect("there are depths");
    let (open, close) = *draw.choose(&[("[", "]"), (r#"{"a":"#, "}")]).expect("there are two");
    let is_closed = bool::arbitrary(draw);
    let end = if is_closed { close.repeat(depth) } else { String::new() };
    format!("{}0{end}", open.repeat(depth))
}

/// Returns `sound` with one part, at any depth, that is odd, gone or there twice.
fn with_odd_part(draw: &mut Gen, sound: &Value) -> String {
    match sound {
        Value::Object(fields) if !fields.is_empty() => with_odd_field(draw, fields),
        Value::Array(items) if !items.is_empty() => {
            let index = usize::arbitrary(draw) % items.len();
            let part = |(at, item): (usize, &Value)| match at == index {
                true => with_odd_part(draw, item),
                false => item.to_string(),
            };
            let parts: Vec<String> = items.iter().enumerate().map(part).collect();
            format!("[{}]", parts.join(","))
        }
        _ => odd(draw),
    }
}

fn with_odd_field(draw: &mut Gen, fields: &Map<String, Value>) -> String {
    let index = usize::arbitrary(draw) % fields.len();
    let way = u8::arbitrary(draw) % 8;
    let mut parts = Vec::new();
    for (at, (name, value)) in fields.iter().enumerate() {
        let name = json!(name);
        match (at == index, way) {
            (false, _) => parts.push(format!("{name}:{value}")),
            (true, 0) => {}
            (true, 1) => {
                parts.push(format!("{name}:{value}"));
                parts.push(format!("{name}:{}", odd(draw)));
            }
            (true, 2..=4) => parts.push(format!("{name}:{}", with_odd_part(draw, value))),
            (true, _) => parts.push(format!("{name}:{}", odd(draw))),
        }
    }
    format!("{{{}}}", parts.join(","))
}
