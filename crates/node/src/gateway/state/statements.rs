//! Statements of upstreams: how a gateway's state changes by them, with its lines of log.

use std::time::{Duration, Instant};

use http::HeaderMap;
use model::discovery;
use model::id;
use model::leaving as leaving_field;
use model::limit;
use model::rest;
use model::statement;
use platform::field;
use steer::dispatch::leaving;
use steer::dispatch::upstream_limit::{self, observation};

use crate::gateway::state::State;

/// Shown in the log where an upstream names no limit.
const NONE: &str = "none";

impl State {
    /// Records what an answer of an upstream says of the upstream, and counts its headers that are not read.
    pub fn observe(
        &self,
        upstream: &discovery::Entry,
        statement: &statement::Statement,
        headers: &HeaderMap,
    ) {
        for name in self.dialect.unknown(headers) {
            self.metrics.unknown_headers.record(name, upstream.id.as_str());
        }
        self.note_malformed(upstream, statement);
        let change = self.dispatcher.borrow_mut().observe(upstream, statement, Instant::now());
        if let Some(limit) = change.limit {
            log_limit(upstream, limit, "");
        }
        if change.leaves {
            log_leaving(&upstream.id, Duration::ZERO, "");
        }
        if let Some(rest) = change.rest {
            let rest_ms = field::whole_millis(rest);
            let (upstream, service) = (upstream.id.as_str(), upstream.service.as_str());
            log::info!(upstream, service, rest_ms; "upstream-resting");
        }
    }

    fn note_malformed(&self, upstream: &discovery::Entry, statement: &statement::Statement) {
        let upstream = upstream.id.as_str();
        if statement.limit == limit::Field::Malformed {
            self.metrics.malformed_limits.add(1);
            log::warn!(upstream; "limit-malformed");
        }
        if statement.leaving == leaving_field::Field::Malformed {
            self.metrics.malformed_leavings.add(1);
            log::warn!(upstream; "leaving-malformed");
        }
        if statement.rest == rest::Field::Malformed {
            self.metrics.malformed_rests.add(1);
            log::warn!(upstream; "rest-malformed");
        }
    }

    /// Applies what another node, or a sum of several, reports of limits.
    pub fn receive_limits(&self, node: &id::Node, report: &upstream_limit::Report, now: Instant) {
        let changed = self.dispatcher.borrow_mut().receive_limits(node, report, now);
        for (upstream, change) in changed {
            log_limit(&upstream, change, node.as_str());
        }
    }

    /// Applies what another node, or a sum of several, announces of upstreams that leave.
    pub fn receive_leavings(
        &self,
        node: &id::Node,
        announcements: &[leaving::Announcement],
        now: Instant,
    ) {
        let heard = self.dispatcher.borrow_mut().receive_leavings(node, announcements, now);
        for announcement in heard {
            log_leaving(&announcement.incarnation.upstream, announcement.age, node.as_str());
        }
    }
}

fn log_limit(upstream: &discovery::Entry, change: observation::Change, reported_by: &str) {
    let text = |rate: Option<limit::Rate>| rate.map_or(NONE.to_owned(), |rate| rate.to_string());
    let (limit, before) = (text(change.now), text(change.before));
    log::info!(
        upstream = upstream.id.as_str(),
        service = upstream.service.as_str(),
        limit = limit.as_str(),
        before = before.as_str(),
        reported_by;
        "upstream-limit-changed"
    );
}

fn log_leaving(upstream: &id::Upstream, age: Duration, reported_by: &str) {
    let (upstream, age_ms) = (upstream.as_str(), field::whole_millis(age));
    log::info!(upstream, age_ms, reported_by; "upstream-leaving");
}
