//! Duties: each has a thread of its own, with a single-threaded runtime for its input and output.

use std::future;
use std::io;
use std::thread;

use tokio::runtime;
use tokio::sync::watch;

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    name: &'static str,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Duty {
    /// Starts a thread that drives what `work` returns, until that ends or the duty is stopped.
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

    /// Ends the duty at once, whatever it is doing, and waits for its thread.
    pub fn stop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(duty = self.name; "duty-panicked");
        }
    }
}

impl Drop for Duty {
    fn drop(&mut self) {
        self.stop();
    }
}
