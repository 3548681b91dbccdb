//! The bytes that processes exchange and store, pinned against fixtures.
//!
//! A fixture is what the code wrote when the form was fixed. A node of one version and one of the
//! next read each other's messages and stored values, so a fixture is never written anew: a form
//! that has to change gets a new one beside the old one.
//!
//! Forms that other tests pin already:
//! - `platform/tests/formats.rs`: how configurations, upstreams' entries, evacuations, items, loads
//!   and durations are read, and the whole answer to a look-up of the platform;
//! - `platform/tests/forms/main.rs`: what the platform's package writes, its paths and header names;
//! - `crates/model/tests/declarations.rs`: how declarations are read;
//! - `crates/node/tests/gateway/requests.rs`: the request and the answer as they cross a gateway;
//! - `crates/node/tests/process/calls.rs`: look-ups, tickets and verdict headers of a node.

mod api;
mod calls;
#[path = "../gateway/client.rs"]
#[expect(dead_code, reason = "shared with the tests of gateways")]
mod client;
mod datagrams;
mod extracts;
mod fixture;
mod headers;
mod messages;
mod metrics;
mod recorder;
#[path = "../gateway/rig.rs"]
#[expect(dead_code, reason = "shared with the tests of gateways")]
mod rig;
mod store;
mod stored;
