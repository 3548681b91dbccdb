//! The thread of the event loop, and its rings.
//!
//! Owns the bounds of the rings. Two lead to the loop: asks are refused as not run when their ring is
//! full; releases give back what an ask took, so they must never be lost, and their ring holds as many
//! as asks can be out.

use std::io;
use std::sync;
use std::thread;

use crossbeam_channel as ring;
use model::clock;
use steer::ownership::core;
use steer::ownership::ticket;

use super::Handle;
use crate::owner::event_loop;
use crate::owner::event_loop::outputs;

/// Asks that may wait for the event loop. Not measured.
const ASKS: usize = 4_096;

/// Releases for each request that may be in flight: at most two each of the owner and of the entry.
const RELEASES_PER_REQUEST: usize = 4;

/// The running thread of the event loop.
#[derive(Debug)]
pub struct Thread {
    stop: ring::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts the event loop, which lets at most `most` requests be in flight.
///
/// # Errors
///
/// Fails when the thread cannot be made.
pub fn start(
    core: core::Core,
    outputs: outputs::Outputs,
    clock: sync::Arc<dyn clock::Clock>,
    most: usize,
) -> io::Result<(Handle, Thread)> {
    let (asks, asked) = ring::bounded(ASKS);
    let (releases, released) = ring::bounded(most * RELEASES_PER_REQUEST + ASKS);
    let (stop, stopped) = ring::bounded(1);
    let key = core.me.key.clone();
    let issuer = ticket::Issuer::new(key.node, key.incarnation, clock.now());
    let handle = Handle {
        asks,
        releases,
        next: sync::Arc::default(),
        in_flight: sync::Arc::default(),
        most,
        view: outputs.view.subscribe(),
        clock: sync::Arc::clone(&clock),
        issuer: issuer.clone(),
        refused: sync::Arc::default(),
    };
    let tickets = ticket::Table::new(issuer);
    let mut event_loop = event_loop::EventLoop::new(core, outputs, clock, tickets);
    let body = move || event_loop.run(&asked, &released, &stopped);
    let thread = thread::Builder::new().name("decisions".to_owned()).spawn(body)?;
    Ok((handle, Thread { stop, thread: Some(thread) }))
}

impl Thread {
    /// Ends the thread and waits for it.
    pub fn stop(&mut self) {
        // A full or closed ring means that it was asked to stop, or has stopped, already.
        let _ = self.stop.try_send(());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(duty = "decisions"; "duty-panicked");
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.stop();
    }
}
