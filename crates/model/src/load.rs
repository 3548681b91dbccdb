//! Load that upstreams report in their responses.

use std::str;

/// Load that an upstream reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued.
    pub waiting: u32,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time; `None` if the upstream does not
    /// tell.
    ///
    /// Other work on the upstream's machine changes it many times a second.
    pub pace: Option<u32>,
}

/// Error for a text that is not a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl str::FromStr for Report {
    type Err = Malformed;

    /// Parses `running,waiting,slots`, such as `3,0,8`, or `running,waiting,slots,pace`.
    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().map_err(|_| Malformed));
        let mut next = || numbers.next().unwrap_or(Err(Malformed));
        let load = Self { running: next()?, waiting: next()?, slots: next()?, pace: None };
        let pace = numbers.next().transpose()?;
        match numbers.next() {
            Some(_) => Err(Malformed),
            None => Ok(Self { pace, ..load }),
        }
    }
}
