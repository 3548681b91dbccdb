//! Reads fixtures and compares with them.

use std::fs;
use std::path;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns a fixture's bytes.
pub fn read(name: &str) -> Vec<u8> {
    fs::read(path(name)).expect("the fixture is there")
}

/// Fails unless `written` is the fixture, byte for byte.
#[track_caller]
pub fn assert_is(name: &str, written: &[u8]) {
    let expected = read(name);
    let shown = |bytes: &[u8]| bytes.escape_ascii().to_string().replace("\\n", "\n");
    assert!(written == expected, "{name}:\n{}\nis not\n{}", shown(written), shown(&expected));
}

/// Fails unless `value` is written as the fixture and the fixture is read as `value`.
#[track_caller]
pub fn assert_json<T>(name: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    assert_is(name, &serde_json::to_vec(value).expect("the value can be written"));
    let back: T = serde_json::from_slice(&read(name)).expect("the fixture can be read");
    assert_eq!(&back, value, "{name}");
}

fn path(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/forms/fixtures").join(name)
}
