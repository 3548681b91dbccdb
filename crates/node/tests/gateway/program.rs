//! The program that a test starts as a gateway or as a node.
//!
//! `YOKESPOKE_OTHER_PROGRAM` names another build of `yokespoked`. Where it is set, starts alternate between the two builds, so
//! that a fleet has processes of both, and a restart replaces one build by the other in either direction.

use std::env;
use std::path;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Environment variable that names the other build.
const OTHER_PROGRAM: &str = "YOKESPOKE_OTHER_PROGRAM";

/// Starts so far in this process.
static STARTS: AtomicUsize = AtomicUsize::new(0);

/// Returns the program of the next start.
pub fn next() -> path::PathBuf {
    let is_odd = STARTS.fetch_add(1, Ordering::Relaxed) % 2 == 1;
    match env::var_os(OTHER_PROGRAM) {
        Some(other) if is_odd => other.into(),
        _ => env!("CARGO_BIN_EXE_yokespoked").into(),
    }
}
