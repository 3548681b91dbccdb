//! The real `yokespoked` over loopback: requests, planned stops, kills, pauses, store outages.

mod api;
mod calls;
mod check;
mod failures;
mod forms;
mod gateway;
mod rig;
mod silence;
mod stop_load;
