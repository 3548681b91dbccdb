//! Statement: all that an upstream says of itself in the head of one answer.

use crate::leaving;
use crate::limit;
use crate::load;
use crate::rest;

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Its load when it answered.
    pub load: Option<load::Report>,
    /// The limit that it names.
    pub limit: limit::Field,
    /// Whether it leaves.
    pub leaving: leaving::Field,
    /// The rest that it wants from this sender.
    pub rest: rest::Field,
}
