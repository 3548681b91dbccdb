//! Load that upstreams report with their answers.

use std::str;

/// Load that an upstream reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests it runs now.
    pub running: u32,
    /// Requests queued at it.
    pub waiting: u32,
    /// Requests it can run at once.
    pub slots: u32,
}

/// A text that is not a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl str::FromStr for Report {
    type Err = Malformed;

    /// Reads running, waiting and slots, separated by commas, such as `3,0,8`.
    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().map_err(|_| Malformed));
        let mut next = || numbers.next().unwrap_or(Err(Malformed));
        let load = Self { running: next()?, waiting: next()?, slots: next()? };
        match numbers.next() {
            Some(_) => Err(Malformed),
            None => Ok(load),
        }
    }
}
