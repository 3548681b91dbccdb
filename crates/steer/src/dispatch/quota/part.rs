//! Part: how much of an organisation's limit is a node's.
//!
//! Owns nothing. Two questions: which part of the limit belongs to the nodes that reach each other ([`Standing`]), and
//! which part of that is this node's ([`share`]).

/// Smallest part, so that no division fails.
const LEAST: f64 = 1e-6;

/// How a node stands among those of the fleet, by requests of all organisations a second.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Its own.
    pub own: f64,
    /// Those of the nodes that it reaches.
    pub reached: f64,
    /// Those that nodes last reported which it no longer reaches.
    pub silent: f64,
    /// Those of the whole fleet when all were reached last, where the node is the one that is cut off.
    pub whole: Option<f64>,
}

impl Standing {
    /// Returns the standing of a node that never reached any of `others`, which are listed.
    #[must_use]
    pub fn alone(others: usize) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let silent = others as f64;
        Self { own: 1.0, reached: 0.0, silent, whole: None }
    }

    /// Returns the part of a limit that belongs to this node and those that it reaches.
    ///
    /// A silent node may be cut off and go on, so its part is left to it. Where it is dead, its callers come to the others,
    /// whose part grows with their requests. A node that is cut off itself gets no callers of others, so what comes more is
    /// a load that the others see too, and its part stays.
    #[must_use]
    pub fn limit_part(&self) -> f64 {
        let now = self.own + self.reached + self.silent;
        let all = self.whole.unwrap_or(now).max(LEAST);
        (1.0 - self.silent / all).max(LEAST)
    }

    /// Returns this node's part among itself and those that it reaches; the whole where nobody has requests.
    #[must_use]
    pub fn own_part(&self) -> f64 {
        match self.own + self.reached {
            reached if reached > LEAST => (self.own / reached).max(LEAST),
            _ => 1.0,
        }
    }
}

/// Returns the part of a limit whose organisation asks `own` of this node and `others` of those that it reaches.
#[must_use]
pub fn share(own: f64, others: f64) -> f64 {
    match own + others {
        all if all > LEAST => own / all,
        _ => 1.0,
    }
}

/// A node's part of one organisation's limit.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Its share of what the organisation asks.
    pub share: f64,
    /// Requests a second that the nodes which reach each other may admit.
    pub limit: f64,
    /// Requests beside those after a pause.
    pub burst: f64,
    /// Requests beside those in any case, so that few callers are not refused for being uneven.
    pub slack: f64,
}

impl Part {
    /// Returns the tokens a second.
    #[must_use]
    pub fn refill(&self) -> f64 {
        self.limit * self.share
    }

    /// Returns the most tokens.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.burst * self.share + self.slack
    }
}
