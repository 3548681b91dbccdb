//! Decisions of nodes that own upstreams: owners, exact counts of slots, leases, queues, tickets.
//!
//! Each upstream has one owner, which alone sends to it. [`core::Core`] takes an [`event::Event`] with
//! a time and pushes [`action::Action`]s; a test can drive it as the process does.
//!
//! A request meets, in this order: [`router`] (region by the split, owner by its load), [`owner`] (slot,
//! queue or refusal), [`retry`] (another try or not). The region's slots are divided by [`rendezvous`],
//! [`share`], [`allotment`] and [`lease`]; the splits are moved by [`planner`] and [`rotation`]; the
//! nodes know each other by [`heartbeat`], [`members`], [`peering`] and [`maintenance`].

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
