//! Loads that decisions answer, replayed on a model of upstreams.

mod deployment;
mod replays;
