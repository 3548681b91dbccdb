//! A gateway on a thread of its own, for programs that run several.
//!
//! Owns the thread and its runtime.

use std::io;
use std::thread;
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};
use tokio::task;

use crate::gateway::process;
use crate::gateway::settings;

/// How a gateway is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// As planned.
    Stop,
    /// At once, as if the process had been killed.
    Kill,
}

/// A gateway on a thread of its own. Dropping it kills it.
#[derive(Debug)]
pub struct Thread {
    /// Where it listens.
    pub listen: settings::Listen,
    end: mpsc::UnboundedSender<End>,
    ended: oneshot::Receiver<bool>,
}

impl Thread {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// Fails when the thread or the gateway cannot start.
    pub async fn start(settings: settings::Settings) -> anyhow::Result<Self> {
        let (end, ends) = mpsc::unbounded_channel();
        let (started, starts) = oneshot::channel();
        let (done, ended) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let name = format!("gateway-{}", settings.node);
        thread::Builder::new().name(name).spawn(move || {
            let tasks = task::LocalSet::new();
            let is_done = tasks.block_on(&runtime, run(settings, started, ends));
            drop(tasks);
            // Fails when the handle was dropped, so that no caller waits for the outcome.
            let _ = done.send(is_done);
        })?;
        let listen = starts.await.map_err(io::Error::other)??;
        Ok(Self { listen, end, ended })
    }

    /// Stops as planned; returns whether every request had ended.
    pub async fn stop(self) -> bool {
        // Fails when the thread has ended; `ended` then says how, or nothing after a panic.
        let _ = self.end.send(End::Stop);
        self.ended.await.unwrap_or(false)
    }

    /// Ends at once, as if the process had been killed.
    pub async fn kill(self) {
        // Both fail when the thread has ended already, which is what is wanted.
        let _ = self.end.send(End::Kill);
        let _ = self.ended.await;
    }
}

async fn run(
    settings: settings::Settings,
    started: oneshot::Sender<anyhow::Result<settings::Listen>>,
    mut ends: mpsc::UnboundedReceiver<End>,
) -> bool {
    let gateway = match process::Gateway::start(settings).await {
        Ok(gateway) => gateway,
        Err(error) => {
            // Fails when `start` was dropped, so that no caller waits for the gateway.
            let _ = started.send(Err(error));
            return false;
        }
    };
    let listen = gateway.state.settings.borrow().listen.clone();
    // As above; `ends` is closed then, and the gateway ends below.
    let _ = started.send(Ok(listen));
    match ends.recv().await {
        Some(End::Stop) => gateway.stop(Instant::now()).await.is_done,
        Some(End::Kill) | None => false,
    }
}
