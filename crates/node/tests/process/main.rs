//! The real `yokespoked` over loopback: requests, planned stops, kills, pauses, store outages.

#[path = "../gateway/answers.rs"]
mod answers;
mod api;
mod broken_answers;
mod calls;
mod changes;
mod check;
mod endless;
mod failures;
mod forms;
mod gateway;
mod late_signal;
#[path = "../gateway/odd.rs"]
mod odd;
mod odd_entries;
#[path = "../gateway/relay.rs"]
#[expect(dead_code, reason = "no test here has a network that delivers what has left a node")]
mod relay;
mod rig;
mod silence;
mod slow_caller;
mod slow_callers;
mod stop_closing;
mod stop_deadline;
mod stop_delivery;
mod stop_lingering;
mod stop_load;
mod stop_sight;
mod stop_times;
mod upstream_connections;
