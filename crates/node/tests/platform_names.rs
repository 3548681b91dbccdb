//! The platform's names stand in its own folder only.

use std::fs;
use std::path;

/// Parts of names that only the platform's pages use.
const NAMES: [&str; 28] = [
    "kv-",
    "op/config",
    "op/evacuate",
    "\"op/",
    "servers/",
    "\"nodes/",
    "yokespoke-request",
    "deadline-ms",
    "affinity-key",
    "not-executed",
    "target-instance",
    "response-seal",
    "server-load",
    "instance-id",
    "yokespoke/resolve",
    "yokespoke/ready",
    "traffic_split",
    "ttl_time",
    "expected_rev:",
    "cold_per_s",
    "max_conns",
    "call_seq",
    "health_path",
    "header_timeout",
    "max_header_bytes",
    "max_body_bytes",
    "non_idempotent",
    "base_version",
];

/// Folders whose sources may not hold them. Tests may.
const SOURCES: [&str; 8] = [
    "model/src",
    "steer/src",
    "wire/src",
    "node/src",
    "standin/src",
    "cli/src",
    "bench/src",
    "codegen/src",
];

fn sources(folder: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

/// Parts of the adapter that hold the platform's forms undecoded, and the sources that may name them:
/// the stand-ins, the demo and the bench, which play the platform's upstreams, callers and store, and the modules
/// that pass items on as they are.
const UNDECODED: [(&str, &[&str]); 3] = [
    ("headers", &["standin/src/platform", "cli/src/demo/gateways"]),
    ("config", &["cli/src/demo/gateways"]),
    (
        "store::item",
        &[
            "standin/src/platform",
            "node/src/gateway/replica/",
            "node/src/gateway/registration.rs",
            "wire/src/gateway/extract.rs",
            "bench/src/control.rs",
        ],
    ),
];

#[test]
fn what_is_undecoded_stays_where_it_is_passed_on() {
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    for folder in SOURCES {
        sources(&crates.join(folder), &mut files);
    }
    for file in files {
        let text = fs::read_to_string(&file).expect("a source is text");
        let name = file.strip_prefix(&crates).expect("it is in the folder").display().to_string();
        for (part, allowed) in UNDECODED {
            let is_named = text.contains(&format!("platform::{part}"))
                || (text.contains("use platform::{") && text.contains(&format!("{part}::")));
            let is_allowed = allowed.iter().any(|prefix| name.starts_with(prefix));
            assert!(!is_named || is_allowed, "{name} names platform::{part}");
        }
    }
}

#[test]
fn no_other_package_names_them() {
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    for folder in SOURCES {
        sources(&crates.join(folder), &mut files);
    }
    let mut hits = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source is text").to_lowercase();
        for (number, line) in text.lines().enumerate() {
            if NAMES.iter().any(|name| line.contains(&name.to_lowercase())) {
                hits.push(format!("{}:{}: {line}", file.display(), number + 1));
            }
        }
    }
    assert!(hits.is_empty(), "names of the platform outside its folder:\n{}", hits.join("\n"));
}
