//! Dispatch: selects the upstream for a request that a gateway sends directly.
//!
//! Each node decides independently, based on service discovery entries, the load reported in
//! responses and by other nodes, and its own requests in flight. Requests for the same object go to
//! the same upstream unless it is overloaded. [`dispatcher`] owns the state and keeps the upstreams
//! in an [`index`]; each rule has its own module.
//!
//! Rules in evaluation order: [`homes`] (which regions may serve the request), [`quota`] (whether
//! its organisation may send it), [`quarantine`] (whether it crashes upstreams), [`route`] (which
//! service), [`region`] (which region), [`eligibility`] (which upstreams may take it),
//! [`preference`], [`selection`] and [`affinity`] (which upstream is best), [`overflow`] (whether it
//! leaves its region), [`admission`] (whether it may wait), [`slots`] (whether it needs a slot, and
//! when it gets one), [`reservation`] (when a refused caller may come back), [`retry`] and
//! [`retry_budget`] (whether it is retried), [`upstream_deadline`] (until when its upstream may work on it),
//! [`curtailment`] (when a stopping node answers it without its upstream),
//! [`response_progress`](crate::common::response_progress) (whether its response is cut off),
//! [`give_up`] (the error response to its caller).
//!
//! State per upstream: [`pace`], [`ejection`], [`failure_rate`], [`silence`] and [`processing_time_ratio`]
//! (combined in [`health`]), [`slow_start`], [`slow_start_limit`], [`slow_start_owner`], [`slow_start_share`] and [`cold_check`], [`reported_load`],
//! [`peer_load`], [`lapsed`] entries, and the upstream's own statements: [`upstream_limit`],
//! [`leaving`] and [`rest`]. State per service: [`expected_processing_time`]. State per service and
//! region: whether this node can connect to the upstreams there ([`connectivity`]).
//!
//! [`connection_limit`] bounds callers' connections, [`fleet`] covers coordination between nodes, and [`stop`] a
//! planned shutdown.

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod candidate;
pub mod cold_check;
pub mod connection_limit;
pub mod connectivity;
pub mod curtailment;
pub mod dispatcher;
pub mod ejection;
pub mod eligibility;
pub mod execution;
pub mod expected_processing_time;
pub mod failure_rate;
pub mod fleet;
pub mod give_up;
pub mod half_close;
pub mod health;
pub mod homes;
pub mod incarnation;
pub mod index;
pub mod lapsed;
pub mod leaving;
pub mod outcome;
pub mod overflow;
pub mod pace;
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
pub mod reservation;
pub mod rest;
pub mod retry;
pub mod retry_budget;
pub mod rollout;
pub mod route;
pub mod seconds;
pub mod seen_objects;
pub mod selection;
pub mod silence;
pub mod skipped;
pub mod slots;
pub mod slow_start;
pub mod slow_start_limit;
pub mod slow_start_owner;
pub mod slow_start_share;
pub mod stop;
pub mod upstream;
pub mod upstream_deadline;
pub mod upstream_limit;
pub mod urgency;
