//! Decisions of nodes that own upstreams: ownership, exact slot counts, leases, queues and tickets.
//!
//! Each upstream has one owner, and only the owner sends requests to it. [`core::Core`] takes an
//! [`event::Event`] with a time and pushes [`action::Action`]s, so tests can drive it like the process.
//!
//! A request passes through [`router`] (region by the split, owner by its load), [`owner`] (slot, queue or
//! refusal) and, if it fails, [`retry`]. [`rendezvous`], [`share`], [`allotment`] and [`lease`] divide a
//! region's slots among its nodes. [`planner`] and [`rotation`] move the splits. [`heartbeat`],
//! [`members`], [`peering`] and [`maintenance`] implement membership.

pub mod action;
pub mod allotment;
pub mod budget;
pub mod core;
pub mod event;
pub mod health;
pub mod heartbeat;
pub mod latency;
pub mod lease;
pub mod ledger;
pub mod maintenance;
pub mod members;
pub mod owned;
pub mod owner;
pub mod owners;
pub mod peering;
pub mod planner;
pub mod queue;
pub mod rates;
pub mod rendezvous;
pub mod report;
pub mod request;
pub mod retry;
pub mod rotation;
pub mod round_robin;
pub mod router;
pub mod share;
pub mod slow_start;
pub mod summaries;
pub mod ticket;
pub mod vms;
