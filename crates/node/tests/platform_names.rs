//! The platform's names stand in its own folder only.

use std::fs;
use std::path;

/// Parts of names that only the platform's pages use.
const NAMES: [&str; 16] = [
    "kv-",
    "op/config",
    "op/evacuate",
    "servers/",
    "yokespoke-request",
    "deadline-ms",
    "affinity-key",
    "not-executed",
    "target-instance",
    "response-seal",
    "server-load",
    "yokespoke/resolve",
    "yokespoke/ready",
    "traffic_split",
    "ttl_time",
    "expected_rev:",
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
