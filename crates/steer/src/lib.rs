//! Decisions of a node: regions, homes, slots, splits, waits and retries.
//!
//! Nothing here performs input or output, reads a clock, takes a lock or draws a random number.
//! [`core::Core`] takes an [`event::Event`] with a time and pushes [`action::Action`]s; a test or a
//! bench can drive it as the process does.

pub mod action;
pub mod beat;
pub mod budget;
pub mod core;
pub mod dispatch;
pub mod event;
pub mod health;
pub mod home;
pub mod homes;
pub mod instance;
pub mod lane;
pub mod ledger;
pub mod loan;
pub mod members;
pub mod peering;
pub mod planner;
pub mod queue;
pub mod ramp;
pub mod rank;
pub mod rates;
pub mod registrar;
pub mod report;
pub mod request;
pub mod retry;
pub mod rights;
pub mod router;
pub mod share;
pub mod split;
pub mod summaries;
pub mod ticket;
pub mod upstream;
pub mod vms;
pub mod warmth;
pub mod wheel;
