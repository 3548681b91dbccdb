//! Region: which region takes a request, and how fast the shares of regions move.
//!
//! [`share`] sets the target of each region, [`shift`] limits how fast a split moves toward it, and
//! [`order`] turns the split into the order of regions for one request.

pub mod distance;
pub mod order;
pub mod share;
pub mod shift;
