//! Loopback: the address on which stand-ins of this process listen.
//!
//! Each process has one of its own. On a shared address, a port that one run of tests frees may be taken by another run,
//! whose requests then reach the wrong upstreams: of 24 soaks that ran four at a time two broke so, in a pair.

use std::net;

/// Returns the loopback address of this process.
#[must_use]
pub fn address() -> net::Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // The second byte is never 0, and the last never 0 or 255, so that it is an ordinary host's address.
    net::Ipv4Addr::new(127, 64 | high, middle, low.clamp(1, 254))
}
