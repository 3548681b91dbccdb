//! Decisions of nodes that own upstreams: owners, exact counts of slots, leases, queues, tickets.
//!
//! Each upstream has one owner, which alone sends to it. [`core::Core`] takes an [`event::Event`] with
//! a time and pushes [`action::Action`]s; a test can drive it as the process does.

pub mod action;
pub mod beat;
pub mod budget;
pub mod core;
pub mod event;
pub mod health;
pub mod home;
pub mod homes;
pub mod lane;
pub mod ledger;
pub mod loan;
pub mod members;
pub mod owned;
pub mod peering;
pub mod planner;
pub mod queue;
pub mod rank;
pub mod rates;
pub mod registrar;
pub mod report;
pub mod request;
pub mod retry;
pub mod rights;
pub mod router;
pub mod share;
pub mod summaries;
pub mod ticket;
pub mod vms;
pub mod warmth;
pub mod wheel;
