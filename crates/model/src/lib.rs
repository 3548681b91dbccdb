//! Shared data model of yokespoke: names, declarations, their validation, and verdicts on requests.
//!
//! This crate performs no I/O except reading the system clock.

pub mod acceptance;
pub mod blocks;
pub mod bounds;
pub mod cap;
pub mod change;
pub mod check;
pub mod clock;
pub mod discovery;
pub mod document;
pub mod drain;
pub mod duration;
pub mod epoch;
pub mod evacuation;
pub mod fingerprint;
pub mod fraction;
pub mod head;
pub mod id;
pub mod key;
pub mod leaving;
pub mod limit;
pub mod load;
pub mod member;
pub mod organisation;
pub mod place;
pub mod refusal;
pub mod resource;
pub mod rest;
pub mod revision;
pub mod rollout;
pub mod route;
pub mod routing;
pub mod service;
pub mod snapshot;
pub mod statement;
pub mod table;
pub mod upstream;
pub mod verdict;
