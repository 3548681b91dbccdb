//! The commands that speak to a fleet or look at files.

pub mod apply;
pub mod check;
pub mod delete;
pub mod dump;
pub mod get;
pub mod key;
pub mod lookup;
pub mod outcome;
pub mod release;
pub mod watch;
