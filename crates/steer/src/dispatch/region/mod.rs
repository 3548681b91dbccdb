//! Region: which region serves a request, and how fast the regions' shares change.
//!
//! [`demand`] knows how many requests arrive in each region, [`share`] computes the target share of
//! each region, [`distance`] raises the local one if the other regions respond too late, [`shift`]
//! limits how fast a split moves toward its target, and [`order`] derives the order of regions for a
//! request from the split.

pub mod demand;
pub mod distance;
pub mod order;
pub mod share;
pub mod shift;
