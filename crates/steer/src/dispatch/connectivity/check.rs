//! Check: what the replies of upstreams show about whether this node reaches their group.
//!
//! An upstream whose slots are all taken lets a health check wait, or resets its connection. A device that
//! accepts connections in the place of the upstreams looks the same to this node. The two differ at another
//! node: a full upstream does not respond there either, but an upstream that this node is cut off from
//! serves the health check of the other node, although it began later. Upstreams serve requests in the
//! order of their arrival, so such a check cannot have passed this node's check in a queue.
//!
//! Where connections are closed at all nodes, a full upstream differs from a device that resets everything by
//! its work: it goes on with the requests that it has taken, while the device ends those of all nodes. So
//! the group is full if any node keeps requests in flight there, and not in use otherwise.

use std::time::Duration;

/// Number of other nodes that are asked, where there are as many.
pub const MAX_PEERS: usize = 3;

/// Maximum number of checks on behalf of other nodes at a time, so that the nodes of a large region that ask
/// at once do not load a full service.
pub const MAX_CHECKS_FOR_PEERS: u32 = 2;

/// Time for which a check whose connections were all closed goes on until the group's work is judged.
///
/// Twice the shortest interval of load reports, so that the reports of other nodes are later than the check.
pub const WORK_TIME: Duration = Duration::from_millis(200);

/// Reply of one upstream to a check of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A response of any status.
    Responded,
    /// The connection was accepted and brought no response.
    Unanswered,
    /// The connection was accepted and closed without a response.
    Closed,
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
    /// The upstreams close the connections of this node and serve no other node's check.
    Closed,
    /// The same, while they work on requests that they have taken: they are full.
    Crowded,
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
        () if has(Reply::Unanswered) || has(Reply::Closed) => None,
        () => Some(Verdict::Lost),
    }
}

/// Returns what `replies` show by themselves about a group that is lost already; `None` if it depends on
/// other nodes.
///
/// Only a response ends the loss, and none can come where no connection is left. So other nodes
/// are not asked, which would have them check the upstreams too.
#[must_use]
pub fn direct_verdict_of_lost(replies: &[Reply]) -> Option<Verdict> {
    match direct_verdict(replies) {
        None if !replies.contains(&Reply::Unanswered) => Some(Verdict::Lost),
        verdict => verdict,
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

/// Returns what a check shows that depends on other nodes, and all of whose connections were closed.
#[must_use]
pub fn verdict_of_closed_with(peers: PeerView) -> Verdict {
    match peers {
        PeerView::NotServed => Verdict::Closed,
        PeerView::Served | PeerView::Unknown => verdict_with(peers),
    }
}

/// Returns what a check shows in view of the requests that any node has in flight in the group; `is_at_work`
/// states whether some of them were in flight during the whole check.
#[must_use]
pub fn verdict_with_work(verdict: Verdict, is_at_work: bool) -> Verdict {
    match verdict {
        Verdict::Closed if is_at_work => Verdict::Crowded,
        verdict => verdict,
    }
}
