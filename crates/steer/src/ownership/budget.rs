//! Retry budgets: second tries are a fraction of first tries.
//!
//! Owns the tokens of one service at one node. Spent by [`retry`](crate::ownership::retry).

/// Second tries allowed for each first try. Not measured; the bound that docs/DESIGN.md gives.
const RATIO: f64 = 0.1;

/// Most second tries that may be saved up. Not measured; for a node that dies with its requests.
const MOST: f64 = 10.0;

/// Second tries that a node starts with. Not measured.
const INITIAL: f64 = MOST / 2.0;

/// The retry budget of one service at one node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Makes a budget that starts with `INITIAL` second tries.
    #[must_use]
    pub fn new() -> Self {
        Self { tokens: INITIAL }
    }

    /// Records a first try.
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
