//! Log lines: bounded in volume, and never in the way of whoever logs.

use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

use node::common::log_writer::LogWriter;

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Output {
    gate: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Output {
    fn open(&self) {
        *self.gate.0.lock().expect("no writer panics") = true;
        self.gate.1.notify_all();
    }

    fn lines(&self) -> usize {
        let written = self.written.lock().expect("no writer panics");
        written.iter().filter(|byte| **byte == b'\n').count()
    }
}

impl io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut is_open = self.gate.0.lock().expect("no opener panics");
        while !*is_open {
            is_open = self.gate.1.wait(is_open).expect("no opener panics");
        }
        self.written.lock().expect("no reader panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(writer: &mut LogWriter, lines: usize) {
    for number in 0..lines {
        // The logger writes a line in pieces, and flushes at its end.
        write!(writer, "event=line number={number}").expect("lines are taken");
        writeln!(writer).expect("lines are taken");
        writer.flush().expect("lines are taken");
    }
}

#[test]
fn an_output_that_takes_nothing_holds_nobody_up() {
    let output = Output::default();
    let dropped = Arc::new(AtomicU64::new(0));
    let mut writer =
        LogWriter::start(output.clone(), Arc::clone(&dropped)).expect("the thread starts");
    // Returns although the output is closed; the burst is bounded, so the rest is counted.
    log(&mut writer, 5_000);
    assert!(dropped.load(Ordering::Relaxed) >= 3_000);
    output.open();
    let began = std::time::Instant::now();
    let kept = 5_000 - usize::try_from(dropped.load(Ordering::Relaxed)).expect("a small number");
    while output.lines() < kept && began.elapsed().as_secs() < 20 {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert_eq!(output.lines(), kept);
}

#[test]
fn lines_are_written_before_a_flush_returns() {
    let output = Output::default();
    output.open();
    let mut writer = LogWriter::start(output.clone(), Arc::default()).expect("the thread starts");
    log(&mut writer, 10);
    // What main does at the end: an empty flush waits for what was logged.
    while output.lines() < 10 {
        writer.flush().expect("a flush ends");
    }
    assert_eq!(output.lines(), 10);
}
