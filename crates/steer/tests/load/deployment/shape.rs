//! How the rate of a load changes with time.

use std::time::Duration;

/// Factor of a load's rate by the time since the start and by region; always above zero.
#[derive(Clone, Debug)]
pub enum Shape {
    Constant,
    /// Sine wave. The waves of the regions follow each other at equal parts of the period.
    Wave {
        /// Greatest deviation from the mean, as a fraction of the mean.
        depth: f64,
        period: Duration,
    },
    /// Factor from each time on, in ascending order; 1 before the first.
    Steps(Vec<(Duration, f64)>),
}

impl Shape {
    /// Returns the factor in a region.
    pub(super) fn factor(&self, region: usize, regions: usize, elapsed: Duration) -> f64 {
        match self {
            Self::Constant => 1.0,
            Self::Wave { depth, period } => {
                let periods = elapsed.as_secs_f64() / period.as_secs_f64();
                let phase = region as f64 / regions as f64;
                1.0 + depth * (std::f64::consts::TAU * (periods - phase)).sin()
            }
            Self::Steps(steps) => {
                let current = steps.iter().rev().find(|(from, _)| *from <= elapsed);
                current.map_or(1.0, |(_, factor)| *factor)
            }
        }
    }
}
