//! Ids, declarations, checks and verdicts that every part of yokespoke shares.
//!
//! Nothing here performs input or output; the packages above it do.

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
pub mod route;
pub mod routing;
pub mod service;
pub mod snapshot;
pub mod statement;
pub mod table;
pub mod upstream;
pub mod verdict;
