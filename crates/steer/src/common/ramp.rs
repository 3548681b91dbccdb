//! Ramp: moves a traffic split toward its target, limited by a maximum rate of change.
//!
//! Keeps the position of one split and its moves within the window; [`split`] computes the steps.
//! Moves are spread over the window, so that a region that receives more traffic can warm up.

use std::collections;
use std::time::{Duration, Instant};

use model::cap;
use model::fraction;

use crate::common::split;

/// Share of the limit that is used, in percent.
///
/// The margin allows for rounding and for the granularity of single requests.
const USED_PERCENT: u32 = 95;

/// Maximum time since the last move that counts toward one step.
///
/// Bounds the step after a pause.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Limit of a ramp: at most `share` of the traffic moves within any `window`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Maximum share that may move.
    pub share: fraction::Fraction,
    /// Length of the window in which the share may move.
    pub window: Duration,
}

impl Limit {
    /// Returns the limit of `cap`; for a lost region, its separate limit if it has one.
    #[must_use]
    pub fn of(cap: &cap::Cap, is_lost: bool) -> Self {
        let share = match cap.lost_share {
            Some(lost) if is_lost => lost,
            _ => cap.share,
        };
        Self { share, window: cap.window }
    }
}

/// The current position of one split, and its moves within the window.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    position: split::Split,
    moves: collections::VecDeque<(Instant, u32)>,
}

impl Limiter {
    /// Creates a limiter at `position`, without previous moves.
    #[must_use]
    pub fn new(position: split::Split) -> Self {
        Self { position, moves: collections::VecDeque::new() }
    }

    /// Returns the current split.
    #[must_use]
    pub fn position(&self) -> &split::Split {
        &self.position
    }

    /// Moves the split toward `target`, by at most what `limit` allows at `now`; returns the share
    /// that moved.
    ///
    /// Without a limit, the split moves to `target` at once.
    pub fn advance(
        &mut self,
        target: &split::Split,
        limit: Option<Limit>,
        now: Instant,
    ) -> fraction::Fraction {
        let step = limit.map_or(fraction::Fraction::ONE, |limit| self.allowed_step(limit, now));
        let next = self.position.toward(target, step);
        let moved = self.position.distance(&next);
        if moved.0 > 0 {
            self.moves.push_back((now, moved.0));
            self.position = next;
        }
        moved
    }

    /// Returns the share that may move now.
    ///
    /// This is the lower of what is left in the window and what is due since the last move at an
    /// even rate.
    fn allowed_step(&mut self, limit: Limit, now: Instant) -> fraction::Fraction {
        let window_start = now.checked_sub(limit.window);
        self.moves.retain(|(at, _)| window_start.is_none_or(|start| *at >= start));
        let moved: u32 = self.moves.iter().map(|(_, share)| share).sum();
        let max_moved = limit.share.0 / 100 * USED_PERCENT;
        let remaining = max_moved.saturating_sub(moved);
        let elapsed = self
            .moves
            .back()
            .map_or(MAX_STEP_INTERVAL, |(at, _)| now.saturating_duration_since(*at))
            .min(MAX_STEP_INTERVAL);
        let due =
            u64::from(max_moved) * duration_micros(elapsed) / duration_micros(limit.window).max(1);
        let due = u32::try_from(due).unwrap_or(u32::MAX);
        fraction::Fraction(remaining.min(due))
    }
}

fn duration_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
