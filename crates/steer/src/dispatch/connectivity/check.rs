//! Check: what the replies of upstreams show about whether this node reaches their group.
//!
//! An upstream whose slots are all taken lets a health check wait, or resets its connection. A device that
//! accepts connections in the place of the upstreams looks the same to this node. The two differ at another
//! node: a full upstream does not respond there either, but an upstream that this node is cut off from
//! serves the health check of the other node, although it began later. Upstreams serve requests in the
//! order of their arrival, so such a check cannot have passed this node's check in a queue.

/// Number of other nodes that are asked, where there are as many.
pub const MAX_PEERS: usize = 3;

/// Maximum number of checks on behalf of other nodes at a time, so that the nodes of a large region that ask
/// at once do not load a full service.
pub const MAX_CHECKS_FOR_PEERS: u32 = 2;

/// Reply of one upstream to a check of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A response of any status.
    Responded,
    /// The connection was accepted and brought no response.
    Unanswered,
    /// No connection could be opened.
    NotConnected,
}

/// What other nodes found at the upstreams that did not answer this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerView {
    /// At least one of these upstreams served the health check of another node, while that of this node still
    /// waited there or its connections were closed twice.
    Served,
    /// None served one.
    NotServed,
    /// No other node replied.
    Unknown,
}

/// What a check shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The group is reached.
    Reached,
    /// The group does not respond to other nodes either: its upstreams are full, or no node reaches them.
    Busy,
    /// The group does not respond, and no other node tells whether it is full or cut off.
    Unclear,
    /// This node does not reach the group.
    Lost,
}

/// Returns what `replies` show by themselves; `None` if it depends on other nodes.
#[must_use]
pub fn direct_verdict(replies: &[Reply]) -> Option<Verdict> {
    let has = |reply| replies.contains(&reply);
    match () {
        // An empty sample does not show that this node is cut off.
        () if replies.is_empty() || has(Reply::Responded) => Some(Verdict::Reached),
        () if has(Reply::Unanswered) => None,
        () => Some(Verdict::Lost),
    }
}

/// Returns what a check shows whose replies depend on other nodes.
#[must_use]
pub fn verdict_with(peers: PeerView) -> Verdict {
    match peers {
        PeerView::Served => Verdict::Lost,
        PeerView::NotServed => Verdict::Busy,
        PeerView::Unknown => Verdict::Unclear,
    }
}
