//! Shares of a limit that belong to this node and to the nodes that it reaches.
//!
//! [`FleetView`] holds the demand that a node knows of. This demand determines the share of a limit
//! that belongs to the nodes on this side of a network partition, and the share of this node among
//! them.

/// Lower bound of shares and rates that prevents a division by zero.
const EPSILON: f64 = 1e-6;

/// Factor on an equal share for a node without reports from others.
///
/// The other nodes reserve only the last reported demand for such a node, which is less than an
/// equal share if the node restarts repeatedly.
const STARTUP_SHARE_FACTOR: f64 = 0.5;

/// Requests per organisation that a node without reports admits however small its share is. Without
/// these requests, 300 nodes that started together refused 0.11 % of the requests of an
/// organisation below its limit.
const STARTUP_EXTRA_REQUESTS: f64 = 1.0;

/// Demand of the fleet as one node knows it, in requests per second of all organisations.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Demand at this node.
    pub own: f64,
    /// Demand at the other nodes that are reachable.
    pub reachable: f64,
    /// Last reported demand at nodes that have become unreachable.
    pub unreachable: f64,
    /// Demand of the whole fleet before this node was isolated; `None` if it is not isolated.
    pub before_isolation: Option<f64>,
    /// Whether this node reaches others, or is the only one.
    pub reaches_others: bool,
    /// Requests per organisation that this node admits beyond its share.
    pub extra: f64,
}

impl FleetView {
    /// Returns the view of a node that never received a report from any of the `others` listed
    /// nodes.
    #[must_use]
    pub fn without_reports(others: usize) -> Self {
        let share = STARTUP_SHARE_FACTOR * equal_share(others);
        Self { extra: STARTUP_EXTRA_REQUESTS, ..Self::isolated(share) }
    }

    /// Returns the view of an isolated node that had `share` of all requests before.
    #[must_use]
    pub fn isolated(share: f64) -> Self {
        Self {
            own: share,
            reachable: 0.0,
            unreachable: 1.0 - share,
            before_isolation: Some(1.0),
            reaches_others: false,
            extra: 0.0,
        }
    }

    /// Returns the share of a limit that belongs to this node and the nodes that it reaches.
    ///
    /// An unreachable node may be isolated and still admit requests, so the other nodes leave its
    /// share to it. If the node is dead, its callers move to the other nodes, whose share then
    /// grows with their demand. An isolated node receives no callers from others, so any additional
    /// demand is a load that the others see too, and its share stays the same.
    #[must_use]
    pub fn reachable_share(&self) -> f64 {
        let current = self.own + self.reachable + self.unreachable;
        let total = self.before_isolation.unwrap_or(current).max(EPSILON);
        (1.0 - self.unreachable / total).max(EPSILON)
    }

    /// Returns this node's share among itself and the nodes that it reaches; 1 if none of them has
    /// requests.
    #[must_use]
    pub fn own_share(&self) -> f64 {
        match self.own + self.reachable {
            total if total > EPSILON => (self.own / total).max(EPSILON),
            _ => 1.0,
        }
    }
}

/// Returns the share of each node if this node and `others` more have equal shares.
#[must_use]
pub fn equal_share(others: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
    let nodes = others as f64 + 1.0;
    1.0 / nodes
}
