//! Which nodes this node reaches, derived from the reports that it receives.
//!
//! Keeps the times of the reports, and the fleet's demand as it was before this node became
//! isolated.

use std::time::{Duration, Instant};

use crate::dispatch::quota::reports;
use crate::dispatch::quota::share;

/// Time after the first report after which the demand of the other nodes counts as known; a little
/// more than the time between two reports.
const WARM_UP: Duration = Duration::from_millis(500);

/// The warm-up ends early once one in this many of the other nodes has reported.
const WARM_UP_NODES_DIVISOR: usize = 3;

/// Time after the first report during which a node takes over debts from reports; later the node
/// has tracked the debts itself.
const DEBT_SYNC_TIME: Duration = Duration::from_secs(1);

/// Time without reports after which a node considers itself isolated; every other node reports more
/// often than that.
///
/// Until then the node spends the other nodes' tokens too. With 1.5 s, a fleet of ten nodes with a
/// limit of 452 requests per second, two of them isolated just before a sudden load, admitted 1.124
/// times what is granted.
const ISOLATED_AFTER: Duration = Duration::from_millis(650);

/// Lower bound of the fleet's rate, in requests per second, that prevents a division by zero.
const MIN_RATE: f64 = 1e-6;

/// Whether a node reaches the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connectivity {
    /// The node has not received enough reports yet.
    Unknown,
    /// The node no longer receives reports.
    Isolated,
    /// The node reaches at least some of the others, or there are none.
    Connected,
}

/// Tracks whether this node receives reports from others.
///
/// A node that receives no reports takes at most an equal share. In a large region, nodes that
/// lookups do not return receive no reports, and the first reports may come from nodes without
/// callers: two of twenty gateways each took the whole limit (193 requests in 5 s of 157 granted).
#[derive(Clone, Debug)]
pub struct Reachability {
    others: usize,
    is_store_reachable: bool,
    /// Demand of the whole fleet when this node was last connected.
    fleet_demand: Option<f64>,
    /// This node's share of that demand.
    own_share: f64,
    first_report_at: Option<Instant>,
    last_report_at: Option<Instant>,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            others: 0,
            is_store_reachable: true,
            fleet_demand: None,
            own_share: 0.0,
            first_report_at: None,
            last_report_at: None,
        }
    }
}

impl Reachability {
    /// Sets how many other nodes are known or listed.
    pub fn set_others(&mut self, others: usize) {
        self.others = others;
    }

    /// Sets whether this node reaches the store, itself or through another node; if not, this node
    /// counts as isolated.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Records that a report from another node arrived.
    pub fn record_report(&mut self, now: Instant) {
        self.first_report_at.get_or_insert(now);
        self.last_report_at = Some(now);
    }

    /// Returns whether this node started too recently to know the fleet's debts.
    #[must_use]
    pub fn has_just_started(&self, now: Instant) -> bool {
        elapsed(self.first_report_at, now).is_none_or(|time| time < DEBT_SYNC_TIME)
    }

    /// Saves the fleet's demand while this node is connected, for use once it is isolated; `own` is
    /// the demand at this node.
    pub fn save_demand(&mut self, own: f64, reports: &reports::Reports, now: Instant) {
        if self.is_store_reachable && self.connectivity(reports, now) == Connectivity::Connected {
            let fleet = own + reports.reachable_demand() + reports.unreachable_demand();
            (self.fleet_demand, self.own_share) = (Some(fleet), own / fleet.max(MIN_RATE));
        }
    }

    /// Returns the fleet's demand as this node knows it; `own` is the demand at this node.
    #[must_use]
    pub fn fleet_view(
        &self,
        own: f64,
        reports: &reports::Reports,
        now: Instant,
    ) -> share::FleetView {
        match self.connectivity(reports, now) {
            Connectivity::Unknown => share::FleetView::without_reports(self.others),
            Connectivity::Isolated => {
                share::FleetView::isolated(self.own_share.min(share::equal_share(self.others)))
            }
            Connectivity::Connected => share::FleetView {
                own,
                reachable: reports.reachable_demand(),
                unreachable: reports.unreachable_demand(),
                before_isolation: self.fleet_demand.filter(|_| !self.is_store_reachable),
                reaches_others: true,
                extra: 0.0,
            },
        }
    }

    fn connectivity(&self, reports: &reports::Reports, now: Instant) -> Connectivity {
        let reporting = reports.reporting_nodes();
        let is_warm = elapsed(self.first_report_at, now).is_some_and(|time| time >= WARM_UP);
        let has_few_reports = reporting * WARM_UP_NODES_DIVISOR < self.others;
        let since_report = elapsed(self.last_report_at, now);
        match () {
            () if self.others == 0 => Connectivity::Connected,
            () if reporting == 0 || !is_warm && has_few_reports => Connectivity::Unknown,
            () if since_report.is_some_and(|time| time >= ISOLATED_AFTER) => Connectivity::Isolated,
            () => Connectivity::Connected,
        }
    }
}

fn elapsed(since: Option<Instant>, now: Instant) -> Option<Duration> {
    since.map(|since| now.saturating_duration_since(since))
}
