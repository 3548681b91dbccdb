//! Retry budgets: limit retries to a fraction of the requests.
//!
//! Each node has a token bucket per service; [`retry`](crate::ownership::retry) takes the tokens.

/// Tokens added per request: the ratio of retries to requests given in docs/DESIGN.md.
const RATIO: f64 = 0.1;

/// Maximum tokens, to retry the requests of a node that fails.
const MOST: f64 = 10.0;

/// Initial tokens.
const INITIAL: f64 = MOST / 2.0;

/// The retry budget of one service at one node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates a budget of `INITIAL` tokens.
    #[must_use]
    pub fn new() -> Self {
        Self { tokens: INITIAL }
    }

    /// Adds the tokens of a new request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RATIO).min(MOST);
    }

    /// Takes a token for a retry; returns whether there was one.
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
