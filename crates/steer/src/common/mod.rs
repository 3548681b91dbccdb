//! Rules that both roles use: splits of traffic over regions, the limiter that moves them, rotations.

pub mod ramp;
pub mod round_robin;
pub mod split;
