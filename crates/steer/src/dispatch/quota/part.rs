//! Part: how much of an organisation's limit is a node's.
//!
//! Owns nothing: how a node stands among the others ([`Standing`]) says which part of a limit belongs to the nodes that reach
//! each other, and which part of all requests is this node's.

/// Smallest part, so that no division fails.
const LEAST: f64 = 1e-6;

/// Part of an equal part that a node takes which knows nothing of the others.
///
/// They leave it what was asked of it last, which is less than an equal part where it started again and again.
const UNKNOWN_PART: f64 = 0.5;

/// Requests of an organisation that a node admits which knows nothing of the others, however small its part: with none, 300 nodes
/// that start together refused 0.11 % of the requests of an organisation below its limit.
const SPARE: f64 = 1.0;

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
    /// Whether it reaches others, or there are none.
    pub reaches_others: bool,
    /// Requests of an organisation that it admits beyond its part.
    pub spare: f64,
}

impl Standing {
    /// Returns the standing of a node that never reached any of `others`, which are listed.
    #[must_use]
    pub fn alone(others: usize) -> Self {
        Self { spare: SPARE, ..Self::cut_off(UNKNOWN_PART * equal(others)) }
    }

    /// Returns the standing of a node that is cut off and had `part` of all requests before.
    #[must_use]
    pub fn cut_off(part: f64) -> Self {
        Self {
            own: part,
            reached: 0.0,
            silent: 1.0 - part,
            whole: Some(1.0),
            reaches_others: false,
            spare: 0.0,
        }
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

/// Returns the part of a node that has `others` beside it, where all have the same.
#[must_use]
pub fn equal(others: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
    let nodes = others as f64 + 1.0;
    1.0 / nodes
}
