//! Ramp: moves a split toward its target, never faster than a limit.
//!
//! Owns the position of one split and its moves within the window. Relies on [`split`] for the steps. Moves
//! are spread over the window, so that a region that receives more warms up on the way.

use std::collections;
use std::time::{Duration, Instant};

use model::cap;
use model::fraction;

use crate::common::split;

/// Part of the limit that is used, in percent.
///
/// Not measured; the margin is for rounding and for the grain of single requests.
const USED_PERCENT: u32 = 95;

/// Longest time since the last move whose pace one step may use.
///
/// Not measured; bounds the step after a pause.
const PACE: Duration = Duration::from_secs(1);

/// Limit of a ramp: at most `share` moves within any `window`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The greatest share.
    pub share: fraction::Fraction,
    /// The window's length.
    pub window: Duration,
}

impl Limit {
    /// Returns the limit of `cap`, or of its part for a lost region.
    #[must_use]
    pub fn of(cap: &cap::Cap, is_lost: bool) -> Self {
        let share = match cap.lost_share {
            Some(lost) if is_lost => lost,
            _ => cap.share,
        };
        Self { share, window: cap.window }
    }
}

/// The position of one split, and its latest moves.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    position: split::Split,
    moves: collections::VecDeque<(Instant, u32)>,
}

impl Limiter {
    /// Starts at `position`, without history.
    #[must_use]
    pub fn new(position: split::Split) -> Self {
        Self { position, moves: collections::VecDeque::new() }
    }

    /// Returns where the split stands.
    #[must_use]
    pub fn position(&self) -> &split::Split {
        &self.position
    }

    /// Moves toward `target` as far as `limit` allows at `now`; returns the share that moved.
    ///
    /// Without a limit the split moves at once.
    pub fn advance(
        &mut self,
        target: &split::Split,
        limit: Option<Limit>,
        now: Instant,
    ) -> fraction::Fraction {
        let step = limit.map_or(fraction::Fraction::ONE, |limit| self.allowance(limit, now));
        let next = self.position.toward(target, step);
        let moved = self.position.distance(&next);
        if moved.0 > 0 {
            self.moves.push_back((now, moved.0));
            self.position = next;
        }
        moved
    }

    /// Returns how much may move now.
    ///
    /// Moves are spread over the window, so that a receiving region warms up on the way.
    fn allowance(&mut self, limit: Limit, now: Instant) -> fraction::Fraction {
        let window_start = now.checked_sub(limit.window);
        self.moves.retain(|(at, _)| window_start.is_none_or(|start| *at >= start));
        let moved: u32 = self.moves.iter().map(|(_, share)| share).sum();
        let most = limit.share.0 / 100 * USED_PERCENT;
        let left = most.saturating_sub(moved);
        let since =
            self.moves.back().map_or(PACE, |(at, _)| now.saturating_duration_since(*at)).min(PACE);
        let pace = u64::from(most) * duration_micros(since) / duration_micros(limit.window).max(1);
        let pace = u32::try_from(pace).unwrap_or(u32::MAX);
        fraction::Fraction(left.min(pace))
    }
}

fn duration_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
