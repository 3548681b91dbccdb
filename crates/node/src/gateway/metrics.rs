//! Figures of a gateway, as text in the Prometheus format.
//!
//! Owns all counters; the gateway's tasks add to them.

use std::cell;
use std::fmt::Write as _;
use std::sync::atomic;
use std::time::{Duration, Instant};

use steer::dispatch::reservation;

use crate::common::logging;
use crate::gateway::demand_metrics;
use crate::gateway::organisation_metrics;
use crate::gateway::unknown_headers;

/// Largest latency that the histogram distinguishes, in microseconds: a minute.
const LONGEST_MICROS: u64 = 60_000_000;

/// Significant digits of the histogram; more of them take more memory.
const DIGITS: u8 = 2;

/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// A count that only grows.
#[derive(Debug, Default)]
pub struct Counter(cell::Cell<u64>);

impl Counter {
    /// Adds `more`.
    pub fn add(&self, more: u64) {
        self.0.set(self.0.get() + more);
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Adds the time from its start to its drop to a counter, in microseconds.
#[derive(Debug)]
pub struct Timer<'a> {
    counter: &'a Counter,
    began: Instant,
}

impl<'a> Timer<'a> {
    /// Starts.
    #[must_use]
    pub fn start(counter: &'a Counter) -> Self {
        Self { counter, began: Instant::now() }
    }
}

impl Drop for Timer<'_> {
    fn drop(&mut self) {
        self.counter.add(u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
}

/// A figure that goes up and down.
#[derive(Debug, Default)]
pub struct Gauge(cell::Cell<f64>);

impl Gauge {
    /// Sets the figure.
    pub fn set(&self, value: f64) {
        self.0.set(value);
    }
}

/// Latencies of answered requests.
#[derive(Debug)]
pub struct Latencies(cell::RefCell<hdrhistogram::Histogram<u32>>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = hdrhistogram::Histogram::new_with_max(LONGEST_MICROS, DIGITS);
        Self(cell::RefCell::new(histogram.expect("the bounds are constants")))
    }
}

impl Latencies {
    /// Records one request's time.
    pub fn record(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.borrow_mut().saturating_record(micros);
    }

    /// Writes the quantiles, in seconds, and the count.
    fn write(&self, text: &mut String) {
        // Writing to a string cannot fail, so the results are ignored.
        let _ = writeln!(text, "# TYPE yokespoke_latency_seconds summary");
        let histogram = self.0.borrow();
        for quantile in QUANTILES {
            let latency = Duration::from_micros(histogram.value_at_quantile(quantile));
            let seconds = latency.as_secs_f64();
            let _ =
                writeln!(text, "yokespoke_latency_seconds{{quantile=\"{quantile}\"}} {seconds}");
        }
        let _ = writeln!(text, "yokespoke_latency_seconds_count {}", histogram.len());
    }
}

/// Promises to refused callers.
#[derive(Debug, Default)]
pub struct Reservations {
    /// Refused callers that were promised room.
    pub promised: Counter,
    /// Returns that were admitted for a promise.
    pub redeemed: Counter,
    /// Promises that nobody redeemed in time.
    pub lapsed: Counter,
    /// Refused callers that were promised nothing.
    pub refused_unpromised: Counter,
    /// Returns that came as told and were refused.
    pub refused_as_told: Counter,
}

impl Reservations {
    /// Adds counts.
    pub fn add(&self, counts: reservation::Counts) {
        self.promised.add(counts.promised);
        self.redeemed.add(counts.redeemed);
        self.lapsed.add(counts.lapsed);
        self.refused_unpromised.add(counts.refused_unpromised);
        self.refused_as_told.add(counts.refused_as_told);
    }
}

/// Figures of a gateway.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests from callers.
    pub requests: Counter,
    /// Requests that got an upstream's answer.
    pub answered: Counter,
    /// Requests refused as not run.
    pub refused: Counter,
    /// Requests whose outcome is not known, or whose time was up.
    pub failed: Counter,
    /// Requests on no route.
    pub unrouted: Counter,
    /// Requests without the key of an organisation where their route wants one.
    pub unauthorized: Counter,
    /// Requests beyond the quota of their organisation.
    pub over_quota: Counter,
    /// Requests by organisation.
    pub organisations: organisation_metrics::Counts,
    /// Requests whose caller left before the answer.
    pub abandoned: Counter,
    /// Responses whose connection ended before the kernel had taken all of them.
    pub undelivered: Counter,
    /// Tries at upstreams.
    pub tries: Counter,
    /// Tries beyond the first.
    pub retries: Counter,
    /// Tries that an upstream refused without running the request.
    pub turned_away: Counter,
    /// Tries without an answer to the request, which may have run.
    pub broken: Counter,
    /// Requests that were in flight at an upstream when it crashed.
    pub crashes: Counter,
    /// Requests refused since upstreams crash under them.
    pub held_back: Counter,
    /// Times that requests were found to crash upstreams, by this node or another.
    pub quarantined: Counter,
    /// Tries at other upstreams than the best one, whose limit was used up.
    pub diverted: Counter,
    /// Requests refused since the limits of all upstreams that would take them were used up.
    pub limited: Counter,
    /// Answers that name a limit which cannot be read.
    pub malformed_limits: Counter,
    /// Answers that say what cannot be read of whether their upstream leaves.
    pub malformed_leavings: Counter,
    /// Refusals that ask for a rest which cannot be read.
    pub malformed_rests: Counter,
    /// Headers of answers that are not read.
    pub unknown_headers: unknown_headers::Counts,
    /// New connections to upstreams.
    pub connections: Counter,
    /// Such connections that could not be established.
    pub connections_failed: Counter,
    /// Checks whether a group of upstreams can be connected to.
    pub connectivity_checks: Counter,
    /// Checks whether upstreams are warm.
    pub cold_checks: Counter,
    /// Look-ups.
    pub lookups: Counter,
    /// Heartbeats sent.
    pub heartbeats: Counter,
    /// Bytes of heartbeats and loads sent to other nodes.
    pub control_bytes: Counter,
    /// Bytes of heartbeats and loads from other nodes.
    pub control_bytes_received: Counter,
    /// Time spent on heartbeats and loads, sent and received, in microseconds. All tasks share one
    /// thread, and these parts never wait, so it is processor time but for what other processes of
    /// the VM take.
    pub control_micros: Counter,
    /// Datagrams of other nodes that could not be read.
    pub malformed_datagrams: Counter,
    /// Datagrams and copies of other fleets' nodes.
    pub foreign: Counter,
    /// Copies of the store fetched from other nodes.
    pub peer_fetches: Counter,
    /// Such copies that did not arrive.
    pub peer_fetches_failed: Counter,
    /// Datagrams with facts for nodes that missed some.
    pub repairs: Counter,
    /// Calls to the platform's store.
    pub store_calls: Counter,
    /// Watches among them.
    pub store_watches: Counter,
    /// Reads of everything among them.
    pub store_reads: Counter,
    /// Requests for leases among them.
    pub store_leases: Counter,
    /// Writes of this node's entry among them.
    pub store_entries: Counter,
    /// Renewals of leases among them.
    pub store_renewals: Counter,
    /// Writes of rulings on requests that crash upstreams among them.
    pub store_rulings: Counter,
    /// Writes of the number of the fleet among them.
    pub store_fleets: Counter,
    /// Writes of stages of roll-outs among them.
    pub store_rollouts: Counter,
    /// Such calls without an answer, or refused.
    pub store_calls_failed: Counter,
    /// Tries at upstreams whose entries have vanished.
    pub tries_lapsed: Counter,
    /// Items of the store that could not be read.
    pub malformed_items: Counter,
    /// Age of the oldest call that waits for the store's answer, in seconds.
    pub store_call_age: Gauge,
    /// Time since the store last answered a call of this node, in seconds; 0 before.
    pub store_answer_age: Gauge,
    /// 1 while this node watches the store itself, 0 otherwise.
    pub is_watching: Gauge,
    /// Upstreams that are used though their entries have vanished.
    pub upstreams_lapsed: Gauge,
    /// Upstreams that this node ejected, since they could not be reached or fell silent.
    pub upstreams_ejected: Gauge,
    /// Groups of upstreams, by service and region, that this node cannot connect to.
    pub groups_unreached: Gauge,
    /// Kinds of requests that are held back, since upstreams crash under them.
    pub held: Gauge,
    /// Upstreams that name a limit.
    pub upstreams_limited: Gauge,
    /// Demand of regions.
    pub demand: demand_metrics::Gauges,
    /// Promises to refused callers.
    pub reservations: Reservations,
    /// Time from a request to the end of its answer.
    pub latency: Latencies,
}

impl Metrics {
    /// Returns every counter with its name, in the order in which they are written.
    fn counters(&self) -> [(&'static str, &Counter); 52] {
        [
            ("requests", &self.requests),
            ("answered", &self.answered),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("unrouted", &self.unrouted),
            ("unauthorized", &self.unauthorized),
            ("over_quota", &self.over_quota),
            ("abandoned", &self.abandoned),
            ("undelivered", &self.undelivered),
            ("tries", &self.tries),
            ("retries", &self.retries),
            ("turned_away", &self.turned_away),
            ("broken", &self.broken),
            ("crashes", &self.crashes),
            ("held_back", &self.held_back),
            ("quarantined", &self.quarantined),
            ("diverted", &self.diverted),
            ("limited", &self.limited),
            ("malformed_limits", &self.malformed_limits),
            ("malformed_leavings", &self.malformed_leavings),
            ("malformed_rests", &self.malformed_rests),
            ("connections", &self.connections),
            ("connections_failed", &self.connections_failed),
            ("connectivity_checks", &self.connectivity_checks),
            ("cold_checks", &self.cold_checks),
            ("lookups", &self.lookups),
            ("heartbeats", &self.heartbeats),
            ("control_bytes", &self.control_bytes),
            ("control_bytes_received", &self.control_bytes_received),
            ("control_microseconds", &self.control_micros),
            ("malformed_datagrams", &self.malformed_datagrams),
            ("foreign", &self.foreign),
            ("peer_fetches", &self.peer_fetches),
            ("malformed_items", &self.malformed_items),
            ("peer_fetches_failed", &self.peer_fetches_failed),
            ("repairs", &self.repairs),
            ("store_calls", &self.store_calls),
            ("store_calls_failed", &self.store_calls_failed),
            ("store_calls_watch", &self.store_watches),
            ("store_calls_read", &self.store_reads),
            ("store_calls_lease", &self.store_leases),
            ("store_calls_entry", &self.store_entries),
            ("store_calls_renewal", &self.store_renewals),
            ("store_calls_ruling", &self.store_rulings),
            ("store_calls_fleet", &self.store_fleets),
            ("store_calls_rollout", &self.store_rollouts),
            ("tries_lapsed", &self.tries_lapsed),
            ("reservations_promised", &self.reservations.promised),
            ("reservations_redeemed", &self.reservations.redeemed),
            ("reservations_lapsed", &self.reservations.lapsed),
            ("reservations_refused_unpromised", &self.reservations.refused_unpromised),
            ("reservations_refused_as_told", &self.reservations.refused_as_told),
        ]
    }

    /// Returns every gauge with its name, in the order in which they are written.
    fn gauges(&self) -> [(&'static str, &Gauge); 8] {
        [
            ("store_call_age_seconds", &self.store_call_age),
            ("store_answer_age_seconds", &self.store_answer_age),
            ("watching", &self.is_watching),
            ("upstreams_lapsed", &self.upstreams_lapsed),
            ("upstreams_ejected", &self.upstreams_ejected),
            ("groups_unreached", &self.groups_unreached),
            ("requests_held", &self.held),
            ("upstreams_limited", &self.upstreams_limited),
        ]
    }

    /// Writes all figures.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, counter) in self.counters() {
            write_counter(&mut text, name, counter.get());
        }
        let dropped = logging::dropped().load(atomic::Ordering::Relaxed);
        write_counter(&mut text, "log_lines_dropped", dropped);
        for (name, gauge) in self.gauges() {
            let _ =
                writeln!(text, "# TYPE yokespoke_{name} gauge\nyokespoke_{name} {}", gauge.0.get());
        }
        self.organisations.write(&mut text);
        self.demand.write(&mut text);
        self.unknown_headers.write(&mut text);
        self.latency.write(&mut text);
        text
    }
}

// Writing to a string cannot fail, so the results below are ignored.

fn write_counter(text: &mut String, name: &str, count: u64) {
    let _ = writeln!(text, "# TYPE yokespoke_{name}_total counter");
    let _ = writeln!(text, "yokespoke_{name}_total {count}");
}
