//! Pace: how long work takes on an upstream's machine at this moment, compared with the usual time.
//!
//! Upstreams report it in their responses. Other work on the machine changes it several times a second,
//! so the expected time of an upstream follows it for a moment only, and observed processing times are
//! divided by it before [`expected_processing_time`] and [`processing_time_ratio`] learn them.
//!
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time
//! [`processing_time_ratio`]: crate::dispatch::processing_time_ratio

use std::time::{Duration, Instant};

use crate::dispatch::seconds;

/// Time constant with which a reported pace decays to the usual one; it changes several times a second.
const DECAY_TIME: Duration = Duration::from_millis(200);

/// Reported pace of an upstream that works as usual, in percent.
const USUAL: f64 = 100.0;

/// Least and greatest factor that is believed, so that a wrong report neither hides an upstream's
/// slowness nor keeps all requests away from it.
const FACTORS: (f64, f64) = (0.25, 4.0);

/// Latest pace that an upstream reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    latest: Option<(f64, Instant)>,
}

impl Pace {
    /// Records the pace of a response, in percent.
    pub fn record(&mut self, percent: Option<u32>, now: Instant) {
        if percent.is_some() {
            self.latest = Some((factor(percent), now));
        }
    }

    /// Returns the factor by which work is expected to take longer than usual.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let Some((factor, at)) = self.latest else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (factor - 1.0) * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Returns the factor that a reported pace stands for; 1 if none is reported.
fn factor(percent: Option<u32>) -> f64 {
    let (least, greatest) = FACTORS;
    percent.map_or(1.0, |percent| (f64::from(percent) / USUAL).clamp(least, greatest))
}

/// Returns the time that work of `time`, done at a reported pace, usually takes.
#[must_use]
pub fn usual_time(time: seconds::Seconds, percent: Option<u32>) -> seconds::Seconds {
    seconds::Seconds(time.0 / factor(percent))
}
