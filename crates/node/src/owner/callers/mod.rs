//! The callers' face: the proxy and the look-ups.

pub mod entry;
pub mod face;
pub mod lookup;
pub mod respond;
