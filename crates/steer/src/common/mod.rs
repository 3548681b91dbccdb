//! Rules that both roles use: splits of traffic over regions, and the limiter that moves them.

pub mod ramp;
pub mod split;
