//! How fast the demo's requests moved between regions, by what upstreams saw and by what nodes had in force.

use std::time::{Duration, Instant};

use standin::{record, split};

use crate::demo::owners::example;

/// Length of the spans in which shares are counted.
const SPAN: Duration = Duration::from_millis(250);

/// Requests from which a span's shares mean something.
const LEAST_IN_SPAN: usize = 20;

/// What upstreams and nodes show of where requests went.
#[derive(Debug)]
pub struct Seen<'a> {
    /// What upstreams saw.
    pub record: &'a record::Record,
    /// The splits that nodes had in force.
    pub samples: &'a split::Samples,
    /// From when until when callers sent.
    pub load: (Instant, Instant),
}

/// Returns the greatest shift over its service's cap, and that cap.
///
/// Only what arrives while callers send counts: afterwards only what was queued at full owners
/// arrives, and its shares are those of the queues.
pub fn of_arrivals(example: &example::Example, seen: &Seen<'_>) -> (record::Shift, f64) {
    let shifts = example.caps().map(|cap| {
        let window = cap.window.saturating_sub(SPAN);
        let name = cap.service.as_str();
        let shift = seen.record.greatest_shift(name, seen.load, window, SPAN, LEAST_IN_SPAN);
        (shift, cap.share.as_f64())
    });
    let over = |(shift, cap): &(record::Shift, f64)| shift.share - cap;
    shifts.max_by(|a, b| over(a).total_cmp(&over(b))).unwrap_or_default()
}

/// Returns the greatest move of a node's split over its service's cap, and that cap.
pub fn of_splits(example: &example::Example, samples: &split::Samples) -> (record::Shift, f64) {
    let moves = example
        .caps()
        .map(|cap| (samples.greatest_shift(cap.service.as_str(), cap.window), cap.share.as_f64()));
    let over = |(shift, cap): &(record::Shift, f64)| shift.share - cap;
    moves.max_by(|a, b| over(a).total_cmp(&over(b))).unwrap_or_default()
}
