//! Loopback: addresses on which stand-ins listen.
//!
//! On a shared address, a port that one deployment frees may be taken by another one, whose
//! requests then reach the wrong upstreams. So each deployment of a process has an address of its
//! own, and so has each process.

use std::net;
use std::sync::atomic::{AtomicU32, Ordering};

/// Step between the addresses of a process, in process ids; a prime far above the number of
/// processes that run at once.
const STEP: u32 = 1_299_709;

/// Deployments of this process so far.
static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

/// Returns the loopback address of this process.
#[must_use]
pub fn address() -> net::Ipv4Addr {
    of_number(std::process::id())
}

/// Returns a loopback address for one more deployment of this process.
#[must_use]
pub fn next() -> net::Ipv4Addr {
    let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed) + 1;
    of_number(std::process::id().wrapping_add(number.wrapping_mul(STEP)))
}

/// Returns an address by the low 22 bits of a number, as many as process ids have.
fn of_number(number: u32) -> net::Ipv4Addr {
    let [_, high, middle, low] = number.to_be_bytes();
    // The second byte is never 0, and the last never 0 or 255, so that it is an ordinary host's address.
    net::Ipv4Addr::new(127, 64 | (high & 63), middle, low.clamp(1, 254))
}
