//! Where the event loop sends what other threads must do.
//!
//! Owns the rings out of the loop. A full ring drops and counts, because each output is made again.

use std::net;
use std::sync;
use std::time::Instant;

use model::id;
use model::table;
use steer::ownership::heartbeat;
use tokio::sync::{mpsc, watch};

use crate::owner::view;

/// The rings out of the event loop.
#[derive(Debug)]
pub struct Outputs {
    /// Heartbeats and fetches, for the peers' thread; dropped and counted when full, as the next heartbeat
    /// makes up for them.
    pub peers: mpsc::Sender<Outgoing>,
    /// Tables to propose, for the store's thread; dropped when full, as they are proposed again.
    pub tables: mpsc::Sender<sync::Arc<table::Table>>,
    /// The view that other threads read.
    pub view: watch::Sender<sync::Arc<view::View>>,
}

/// A call that the peers' thread is to make.
#[derive(Debug)]
pub enum Outgoing {
    /// A heartbeat.
    Heartbeat {
        /// Where to.
        to: net::SocketAddr,
        /// The node expected there.
        node: Option<id::Node>,
        /// The heartbeat.
        heartbeat: Box<heartbeat::Request>,
        /// When it was made.
        made: Instant,
    },
    /// A fetch of the newer configuration.
    Fetch {
        /// From where.
        from: net::SocketAddr,
    },
}
