//! Tests of the quarantine: requests that crash upstreams are held back at every node, and no other
//! request is.

mod drawn;
mod fleet;
mod rules;
