//! Threads for input and output, each with a single-threaded runtime.
//!
//! Owns the thread and its stop. Logs keep the key `duty` for its name.

use std::future;
use std::io;
use std::thread;

use tokio::runtime;
use tokio::sync::watch;

/// A running thread.
#[derive(Debug)]
pub struct IoThread {
    name: &'static str,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl IoThread {
    /// Starts a thread that drives what `work` returns, until that ends or the thread is stopped.
    ///
    /// # Errors
    ///
    /// Fails when the thread or its runtime cannot be made.
    pub fn start<F, W>(name: &'static str, work: W) -> io::Result<Self>
    where
        F: future::Future<Output = ()>,
        W: FnOnce() -> F + Send + 'static,
    {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, mut stopped) = watch::channel(false);
        let body = move || {
            runtime.block_on(async move {
                tokio::select! {
                    () = work() => {}
                    _ = stopped.wait_for(|stop| *stop) => {}
                }
            });
            // Dropping the runtime drops its tasks, and with them every socket.
            runtime.shutdown_background();
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        Ok(Self { name, stop, thread: Some(thread) })
    }

    /// Stops the thread at once, whatever it is doing, and waits for it.
    pub fn stop(&mut self) {
        // Without a receiver the thread has ended already.
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(duty = self.name; "duty-panicked");
        }
    }
}

impl Drop for IoThread {
    fn drop(&mut self) {
        self.stop();
    }
}
