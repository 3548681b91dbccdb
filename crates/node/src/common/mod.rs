//! What both roles of a process use: logging, settings, bodies, headers, the client of yokespoke's own
//! store.

pub mod accepting;
pub mod body;
pub mod closing;
pub mod delivery;
pub mod head;
pub mod head_timer;
pub mod lingering;
pub mod log_writer;
pub mod logging;
pub mod metered;
pub mod send_queue;
pub mod sending;
pub mod settings;
pub mod shared_stream;
pub mod socket;
pub mod stop_list;
pub mod store;
