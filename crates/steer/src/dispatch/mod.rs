//! Dispatch: which upstream takes a request that a gateway sends by itself.
//!
//! Each node decides alone, from the entries of service discovery, the load that answers and other nodes
//! report, and its own requests in flight. Requests for one object go to the same upstream as long as
//! that is not overloaded. [`dispatcher`] owns the state, with the upstreams in an [`index`]; each rule stands in a module
//! of its own.
//!
//! In the order in which a request meets them: [`homes`] (which regions may serve it), [`quota`] (whether its
//! organisation may send it), [`quarantine`] (whether it crashes the upstreams that run it), [`route`] (which service), [`region`] (which region),
//! [`eligibility`] (which upstreams may take it), [`preference`], [`selection`] and [`affinity`] (which one is best),
//! [`overflow`] (whether it leaves its region), [`admission`] (whether it may wait), [`retry`] and
//! [`retry_budget`] (whether it is sent again), [`give_up`] (what its caller is answered).
//!
//! What the rules know of an upstream: [`ejection`], [`failure_rate`], [`silence`], [`processing_time_ratio`] (together
//! [`health`]), [`slow_start`] and its owner, [`expected_processing_time`], [`reported_load`], [`peer_load`],
//! [`lapsed`] entries, and what it says of itself: [`upstream_limit`], [`leaving`], [`rest`].
//!
//! What nodes do for each other and for callers: [`fleet`], and [`stop`] for a planned stop.

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod candidate;
pub mod dispatcher;
pub mod ejection;
pub mod eligibility;
pub mod execution;
pub mod expected_processing_time;
pub mod failure_rate;
pub mod fleet;
pub mod give_up;
pub mod health;
pub mod homes;
pub mod incarnation;
pub mod index;
pub mod lapsed;
pub mod leaving;
pub mod outcome;
pub mod overflow;
pub mod peer_load;
pub mod position;
pub mod preference;
pub mod priority;
pub mod processing_time_ratio;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod region;
pub mod reported_load;
pub mod request;
pub mod rest;
pub mod retry;
pub mod retry_budget;
pub mod route;
pub mod seconds;
pub mod seen_objects;
pub mod selection;
pub mod silence;
pub mod skipped;
pub mod slow_start;
pub mod slow_start_owner;
pub mod stop;
pub mod upstream;
pub mod upstream_limit;
pub mod urgency;
