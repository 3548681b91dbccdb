//! The writer of log lines: bounded in volume, and never blocking the thread that logs.
//!
//! Owns the thread that writes and the count of lines waiting for it. Lines that do not fit are dropped
//! and counted, and the count is a metric.

use std::io;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait for the output; one more is dropped and counted.
const WAITING: usize = 1_024;

/// Lines a second in the long run; more are dropped and counted.
const RATE: f64 = 200.0;

/// Lines that may be logged at once.
const BURST: f64 = 600.0;

/// Longest time that a flush waits for the output.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Period at which a flush checks whether the output has caught up.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Collects lines and hands them to a thread of its own.
#[derive(Debug)]
pub struct LogWriter {
    line: Vec<u8>,
    sender: mpsc::SyncSender<Vec<u8>>,
    allowed: f64,
    filled: Instant,
    dropped: sync::Arc<AtomicU64>,
    waiting: sync::Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread, which writes to `output` until the writer is dropped.
    ///
    /// `dropped` counts the lines that were not written.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be made.
    pub fn start(
        output: impl io::Write + Send + 'static,
        dropped: sync::Arc<AtomicU64>,
    ) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel::<Vec<u8>>(WAITING);
        let waiting = sync::Arc::new(AtomicU64::new(0));
        let written = sync::Arc::clone(&waiting);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(output, &receiver, &written))?;
        let filled = Instant::now();
        Ok(Self { line: Vec::new(), sender, allowed: BURST, filled, dropped, waiting })
    }

    /// Waits until the lines so far are written, for a short time at most.
    fn settle(&self) {
        let began = Instant::now();
        while self.waiting.load(Ordering::Acquire) > 0 && began.elapsed() < FLUSH_TIME {
            thread::sleep(FLUSH_LOOK);
        }
    }

    fn is_allowed(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.allowed = (self.allowed + passed * RATE).min(BURST);
        let is_allowed = self.allowed >= 1.0;
        if is_allowed {
            self.allowed -= 1.0;
        }
        is_allowed
    }
}

fn write(mut output: impl io::Write, receiver: &mpsc::Receiver<Vec<u8>>, waiting: &AtomicU64) {
    while let Ok(line) = receiver.recv() {
        // A failure of the log cannot be logged.
        let _ = output.write_all(&line);
        let _ = output.flush();
        waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl io::Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.write_all(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            self.settle();
            return Ok(());
        }
        self.waiting.fetch_add(1, Ordering::AcqRel);
        if !self.is_allowed() || self.sender.try_send(line).is_err() {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
