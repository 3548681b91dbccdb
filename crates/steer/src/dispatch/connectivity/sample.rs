//! Sample: the upstreams of a group that a check requests a response from.
//!
//! Upstreams that are not ejected come first, so that a crash of many upstreams does not look like a
//! cut.

use std::time::Instant;

use crate::dispatch::upstream;

/// Number of upstreams in a sample, where there are as many.
const MAX_UPSTREAMS: usize = 4;

/// Draws a number below its argument.
pub type Draw<'d> = &'d mut dyn FnMut(usize) -> usize;

/// Returns a sample of `upstreams`.
pub fn take<'a>(
    upstreams: impl Iterator<Item = &'a upstream::Upstream>,
    draw: Draw<'_>,
    now: Instant,
) -> Vec<&'a upstream::Upstream> {
    let (ejected, others): (Vec<_>, Vec<_>) =
        upstreams.partition(|upstream| upstream.health.is_ejected(now));
    let mut taken = Vec::with_capacity(MAX_UPSTREAMS);
    for mut upstreams in [others, ejected] {
        while taken.len() < MAX_UPSTREAMS && !upstreams.is_empty() {
            taken.push(upstreams.swap_remove(draw(upstreams.len())));
        }
    }
    taken
}
