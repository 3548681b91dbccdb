//! Retry budgets: second tries are a fraction of first tries.

/// Second tries allowed for each first try.
const RATIO: f64 = 0.1;

/// Most second tries that may be saved up; enough for a node that dies with its requests.
const MOST: f64 = 10.0;

/// The retry budget of one service at one node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Makes a budget that starts with a few second tries.
    #[must_use]
    pub fn new() -> Self {
        Self { tokens: MOST / 2.0 }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RATIO).min(MOST);
    }

    /// Takes one second try out; returns false when none is left.
    pub fn spend(&mut self) -> bool {
        match self.tokens >= 1.0 {
            true => {
                self.tokens -= 1.0;
                true
            }
            false => false,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
