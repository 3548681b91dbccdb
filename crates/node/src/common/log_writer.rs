//! The writer of log lines: bounded in volume, and never blocking the thread that logs.
//!
//! Owns the thread that writes and the queue of lines waiting for it. Lines that do not fit are dropped
//! and counted, and the count is a metric. A reserve is kept for the few lines that must not be dropped; these are
//! written before other lines that wait.

use std::cell;
use std::collections;
use std::io;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait for the output; one more is dropped and counted.
const WAITING: usize = 1_024;

/// Lines a second in the long run; more are dropped and counted.
const RATE: f64 = 200.0;

/// Lines that may be logged at once.
const BURST: f64 = 600.0;

/// Lines of the reserve, over the life of the process.
const RESERVE: usize = 512;

/// Longest time that a flush waits for the output.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// The same while lines of the reserve are not written.
const FLUSH_TIME_OF_RESERVE: Duration = Duration::from_secs(1);

thread_local! {
    /// Whether lines of this thread use the reserve.
    static USES_RESERVE: cell::Cell<bool> = const { cell::Cell::new(false) };
}

/// Calls `log`, whose lines use the reserve: neither the bound of the log nor a backlog drops them.
///
/// For the few lines that tell how a process ends.
pub fn with_reserve<T>(log: impl FnOnce() -> T) -> T {
    let used = USES_RESERVE.replace(true);
    let result = log();
    USES_RESERVE.set(used);
    result
}

/// Lines that wait for the output.
#[derive(Debug, Default)]
struct Lines {
    reserved: collections::VecDeque<Vec<u8>>,
    others: collections::VecDeque<Vec<u8>>,
    /// Whether a line is being written, and whether it is one of the reserve.
    writing: Option<bool>,
    is_closed: bool,
}

impl Lines {
    fn next(&mut self) -> Option<Vec<u8>> {
        let reserved = self.reserved.pop_front();
        let is_reserved = reserved.is_some();
        let line = reserved.or_else(|| self.others.pop_front());
        self.writing = line.is_some().then_some(is_reserved);
        line
    }

    fn has_reserved(&self) -> bool {
        !self.reserved.is_empty() || self.writing == Some(true)
    }

    fn is_empty(&self) -> bool {
        self.reserved.is_empty() && self.others.is_empty() && self.writing.is_none()
    }
}

/// Queue between the threads that log and the one that writes.
#[derive(Debug, Default)]
struct Queue {
    lines: sync::Mutex<Lines>,
    /// Notified when a line was added or written, and when the queue was closed.
    changed: sync::Condvar,
}

impl Queue {
    fn lock(&self) -> sync::MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits for the next line; `None` when the queue is closed and empty.
    fn next(&self) -> Option<Vec<u8>> {
        let mut lines = self.lock();
        lines.writing = None;
        self.changed.notify_all();
        loop {
            match lines.next() {
                Some(line) => return Some(line),
                None if lines.is_closed => return None,
                None => {
                    lines = self.changed.wait(lines).unwrap_or_else(sync::PoisonError::into_inner);
                }
            }
        }
    }
}

/// Collects lines and hands them to a thread of its own.
#[derive(Debug)]
pub struct LogWriter {
    line: Vec<u8>,
    queue: sync::Arc<Queue>,
    allowed: f64,
    filled: Instant,
    reserve: usize,
    dropped: sync::Arc<AtomicU64>,
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
        let queue = sync::Arc::new(Queue::default());
        let lines = sync::Arc::clone(&queue);
        thread::Builder::new().name("log".to_owned()).spawn(move || write(output, &lines))?;
        let filled = Instant::now();
        let line = Vec::new();
        Ok(Self { line, queue, allowed: BURST, filled, reserve: RESERVE, dropped })
    }

    /// Waits until the lines so far are written, for a short time at most.
    fn settle(&self) {
        let began = Instant::now();
        let mut lines = self.queue.lock();
        while !lines.is_empty() {
            let allowed = if lines.has_reserved() { FLUSH_TIME_OF_RESERVE } else { FLUSH_TIME };
            let left = allowed.saturating_sub(began.elapsed());
            if left.is_zero() {
                return;
            }
            let waited = self.queue.changed.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }

    /// Queues a line, or drops and counts it.
    fn push(&mut self, line: Vec<u8>) {
        let uses_reserve = USES_RESERVE.get() && self.reserve > 0;
        let is_allowed = uses_reserve || self.is_allowed();
        let mut lines = self.queue.lock();
        match is_allowed {
            true if uses_reserve => {
                self.reserve -= 1;
                lines.reserved.push_back(line);
            }
            true if lines.others.len() < WAITING => lines.others.push_back(line),
            _ => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        drop(lines);
        self.queue.changed.notify_all();
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

fn write(mut output: impl io::Write, queue: &Queue) {
    while let Some(line) = queue.next() {
        // A failure of the log cannot be logged.
        let _ = output.write_all(&line);
        let _ = output.flush();
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.queue.lock().is_closed = true;
        self.queue.changed.notify_all();
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
        self.push(line);
        Ok(())
    }
}
