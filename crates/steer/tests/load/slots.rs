//! Replays with slots and the queue at the owner, each compared with the same load without them.

use std::time::Duration;

use steer::dispatch::region::demand;
use steer::dispatch::slots::Mode;

use crate::deployment::{self, Fault, Load, Network, Outcome, Plan, Region, Shape, Tally};

/// Seeds of each simulation; the asserted bounds apply to the sum over all seeds.
const SEEDS: [u64; 3] = [1, 2, 3];

const MS: Duration = Duration::from_millis(1);

const GATEWAYS: usize = 8;

fn load(name: &str, priority: u32, target: Duration, rate: f64) -> Load {
    Load {
        route: deployment::route(name, priority, target),
        rate,
        uncached_work: 300 * MS,
        cached_work: 90 * MS,
        objects: 60,
        organisation: 0,
        shape: Shape::Constant,
    }
}

/// Three regions with upstreams of three slots, between which requests take 12 ms.
fn plan(loads: Vec<Load>) -> Plan {
    let region = |name| Region { name, upstreams: 6, gateways: GATEWAYS };
    Plan {
        regions: vec![region("a"), region("b"), region("c")],
        slots: 3,
        cache_size: 49,
        latency: 12 * MS,
        loads,
        duration: Duration::from_secs(16),
        warm_up: Duration::from_secs(6),
        join: None,
        network: Network { lost_datagrams: 0.002, ..Network::default() },
        demand: demand::Mode::Off,
        report_loss: 0.0,
        faults: Vec::new(),
    }
}

fn with(plan: &Plan, slots: Mode) -> Plan {
    let network = Network { slots, ..plan.network.clone() };
    Plan { network, ..plan.clone() }
}

/// Sum over all seeds of the results of a plan.
struct Results(Vec<Outcome>);

impl Results {
    fn of(plan: &Plan, slots: Mode) -> Self {
        let plan = with(plan, slots);
        Self(SEEDS.iter().map(|seed| deployment::simulate(&plan, *seed)).collect())
    }

    fn sum(&self, counts: impl Fn(&str) -> bool) -> Tally {
        let mut total = Tally::default();
        let tallies = self.0.iter().flat_map(|outcome| &outcome.tallies);
        for (_, tally) in tallies.filter(|((name, _), _)| counts(name)) {
            total = deployment::sum([total, *tally].iter());
        }
        total
    }

    fn route(&self, route: &str) -> Tally {
        self.sum(|name| name == route)
    }

    fn all(&self) -> Tally {
        self.sum(|_| true)
    }

    fn max_at_upstream(&self) -> usize {
        self.0.iter().map(|outcome| outcome.max_at_upstream).max().unwrap_or(0)
    }

    /// Prints the shares of each route, for the figures in the tests' comments.
    fn print(&self, name: &str, routes: &[&str]) {
        for route in routes {
            let tally = self.route(route);
            println!(
                "{name} {route}: {} requests, in time {:.3}, late {:.3}, refused {:.3}, rejected {:.4}, cache misses {:.3}",
                tally.total,
                tally.share(tally.in_time),
                tally.share(tally.late),
                tally.share(tally.refused),
                tally.share(tally.rejected),
                tally.share(tally.cache_misses),
            );
        }
        println!("{name}: at most {} requests at an upstream", self.max_at_upstream());
    }
}

fn in_time(tally: &Tally) -> f64 {
    tally.share(tally.in_time)
}

fn served(tally: &Tally) -> f64 {
    tally.share(tally.in_time + tally.late)
}

fn rejected(tally: &Tally) -> f64 {
    tally.share(tally.rejected)
}

/// Returns the results without and with slots.
fn compare(plan: &Plan, routes: &[&str]) -> (Results, Results) {
    let (off, auto) = (Results::of(plan, Mode::Off), Results::of(plan, Mode::Auto));
    off.print("off", routes);
    auto.print("auto", routes);
    (off, auto)
}

fn overload() -> Plan {
    plan(vec![load("urgent", 0, 200 * MS, 45.0), load("patient", 2, 300 * MS, 210.0)])
}

/// A third more requests than the capacity, a sixth of them urgent, for a long time.
///
/// Guards against urgent requests that wait behind all others, against rejections by upstreams, and
/// against slots that stay idle for the sake of the order. Without slots, 86.8 % of the urgent requests
/// are in time, 0.4 % are refused, 64.2 % of the others are served, and up to 12 requests are at an
/// upstream.
#[test]
fn slots_sustained_overload_urgent_requests_come_first() {
    let (off, auto) = compare(&overload(), &["urgent", "patient"]);
    let (urgent, patient) = (auto.route("urgent"), auto.route("patient"));
    assert!(in_time(&urgent) >= 0.93, "{:.3} in time", in_time(&urgent));
    assert!(urgent.share(urgent.refused) <= 0.005, "{} refused", urgent.refused);
    let served_off = served(&off.route("patient"));
    assert!(served(&patient) >= served_off, "{:.3}, off {served_off:.3}", served(&patient));
    assert!(rejected(&auto.all()) <= 0.001, "{:.4} rejected", rejected(&auto.all()));
    // One above the slots is granted; one more is sent without a slot now and then.
    assert!(auto.max_at_upstream() <= 6, "{} at an upstream", auto.max_at_upstream());
}

/// An organisation sends nine times its usual rate for two seconds; another one of the same urgency stays
/// within its fair share, and there are urgent requests.
///
/// Guards against callers paying for another caller's surge. Without slots, 42 % of the other
/// organisation's requests and 68 % of the urgent ones are in time; without the surge, 94 % and 96 %.
/// Half of what is still refused comes from the first half second, before reports show the surge.
#[test]
fn slots_burst_of_two_seconds_is_borne_by_its_organisation() {
    let burst = Shape::Steps(vec![(8_000 * MS, 9.0), (10_000 * MS, 1.0)]);
    let surging = Load { organisation: 1, shape: burst, ..load("surging", 2, 300 * MS, 40.0) };
    let other = Load { organisation: 2, ..load("other", 2, 300 * MS, 30.0) };
    let mut plan = plan(vec![load("urgent", 0, 200 * MS, 30.0), surging, other]);
    plan.warm_up = Duration::from_secs(8);
    plan.duration = Duration::from_millis(10_500);
    let mut calm = plan.clone();
    calm.loads[1].shape = Shape::Constant;
    let calm = Results::of(&calm, Mode::Auto);
    let (off, auto) = compare(&plan, &["urgent", "surging", "other"]);
    for route in ["urgent", "other"] {
        let (with, without) = (in_time(&auto.route(route)), in_time(&calm.route(route)));
        assert!(with >= 0.85 * without, "{route}: {with:.3} in time, {without:.3} without a surge");
    }
    assert!(rejected(&auto.all()) <= 0.001, "{:.4} rejected", rejected(&auto.all()));
    let (all, all_off) = (served(&auto.all()), served(&off.all()));
    assert!(all >= all_off, "{all:.3} served, off {all_off:.3}");
}

/// Urgent requests alone exceed the capacity.
///
/// Guards against rejections, against the least urgent requests getting nothing (they must be served at
/// a quarter of the rate of all), and against queues that make all requests late. Without slots, 12.8 %
/// of the urgent requests are rejected by upstreams, 14.5 % are in time and 4.5 % of the others.
#[test]
fn slots_urgent_alone_above_capacity() {
    let plan = plan(vec![load("urgent", 0, 250 * MS, 260.0), load("patient", 2, 250 * MS, 60.0)]);
    let (off, auto) = compare(&plan, &["urgent", "patient"]);
    let (urgent, patient) = (auto.route("urgent"), auto.route("patient"));
    assert!(rejected(&auto.all()) <= 0.001, "{:.4} rejected", rejected(&auto.all()));
    assert!(served(&patient) >= served(&urgent) / 4.0, "{:.3} served", served(&patient));
    assert!(in_time(&urgent) >= 0.6, "{:.3} in time", in_time(&urgent));
    let (all, all_off) = (served(&auto.all()), served(&off.all()));
    assert!(all >= all_off, "{all:.3} served, off {all_off:.3}");
}

/// The load falls from almost twice the capacity to four fifths of it; counted from half a second later.
///
/// Guards against queues and refusals that outlast the overload. Without slots, 8.6 % of the patient
/// requests are refused then, and 96.2 % of the urgent ones are in time: with slots, more objects are new
/// to their upstreams, since as many more patient requests are served.
#[test]
fn slots_falling_load_leaves_no_queue_behind() {
    let falling = Shape::Steps(vec![(Duration::ZERO, 1.4), (8_000 * MS, 0.6)]);
    let mut plan = overload();
    for load in &mut plan.loads {
        load.shape = falling.clone();
    }
    plan.warm_up = Duration::from_millis(8_500);
    plan.duration = Duration::from_millis(12_500);
    let (off, auto) = compare(&plan, &["urgent", "patient"]);
    let (urgent, patient) = (auto.route("urgent"), auto.route("patient"));
    assert!(in_time(&urgent) >= 0.93, "{:.3} in time", in_time(&urgent));
    let (refused, off) = (patient.share(patient.refused), off.route("patient"));
    let refused_off = off.share(off.refused);
    assert!(refused <= refused_off / 2.0, "{refused:.3} refused, off {refused_off:.3}");
    assert!(in_time(&patient) >= in_time(&off), "{:.3} in time", in_time(&patient));
}

/// The sustained overload with something that happens to the first `gateways` gateways, all of them in
/// one region with eight, at the start of the counted time.
fn faults(gateways: usize, fault: impl Fn(usize, Duration) -> Fault) -> Plan {
    let mut plan = overload();
    plan.warm_up = Duration::from_secs(8);
    plan.duration = Duration::from_secs(14);
    let at = plan.warm_up;
    plan.faults = (0..gateways).map(|gateway| fault(gateway, at)).collect();
    plan
}

fn end(gateway: usize, at: Duration) -> Fault {
    Fault::End { gateway, at }
}

/// Checks what must hold whatever fails: upstreams reject almost nothing, urgent requests fare no worse
/// than without slots, and as many requests are served. Returns the results with slots.
fn check_under_fault(plan: &Plan) -> Results {
    let (off, auto) = compare(plan, &["urgent", "patient"]);
    assert!(rejected(&auto.all()) <= 0.001, "{:.4} rejected", rejected(&auto.all()));
    let (urgent, urgent_off) = (in_time(&auto.route("urgent")), in_time(&off.route("urgent")));
    assert!(urgent >= urgent_off, "{urgent:.3} in time, off {urgent_off:.3}");
    let all = served(&auto.all());
    assert!(all >= served(&off.all()) - 0.02, "{all:.3}, off {:.3}", served(&off.all()));
    auto
}

/// Checks that upstreams had no more requests than two owners grant that do not know of each other.
fn check_bound(plan: &Plan, results: &Results) {
    let (most, bound) = (results.max_at_upstream(), 2 * (plan.slots as usize + 1));
    assert!(most <= bound, "{most} requests at an upstream, bound {bound}");
}

/// Rows "a slot owner dies" and "an asking node dies" of docs/design/contended-upstreams.md: half of a
/// region's gateways die, each of which owns upstreams and holds slots of others.
///
/// Until they count as dead, requests for their upstreams go without a slot, so the bound on the grants
/// of two owners does not hold. Without slots, 89.0 % of the urgent requests are in time.
#[test]
fn slots_owners_and_asking_nodes_die() {
    let _ = check_under_fault(&faults(4, end));
}

/// Row "an owner is paused and resumes": half of a region's gateways pause for longer than the time after
/// which a gateway counts as dead, so that others own their upstreams meanwhile.
///
/// As above, requests go without a slot until the others count the paused ones as dead. Without slots,
/// 86.2 % of the urgent requests are in time.
#[test]
fn slots_owners_pause_and_resume() {
    let duration = Duration::from_secs(3);
    let pause = |gateway, at| Fault::Pause { gateway, at, duration };
    let _ = check_under_fault(&faults(4, pause));
}

/// Row "half of the load reports are lost".
///
/// Without slots, 84.7 % of the urgent requests are in time and up to 12 are at an upstream.
#[test]
fn slots_half_of_the_load_reports_are_lost() {
    let mut plan = faults(0, end);
    plan.network.lost_reports = 0.5;
    let results = check_under_fault(&plan);
    check_bound(&plan, &results);
}

/// Row "a datagram is lost", at five times the rate of the other replays. Guards against slots that stay
/// taken until their leases end since their releases were lost.
///
/// With a tenth lost, 84.1 % of the urgent requests are in time and 56.1 % of the others are served,
/// fewer than without slots (86.8 % and 65.3 %).
#[test]
fn slots_a_hundredth_of_the_datagrams_is_lost() {
    let mut plan = faults(0, end);
    plan.network.lost_datagrams = 0.01;
    let results = check_under_fault(&plan);
    check_bound(&plan, &results);
}

/// A roll-out of a build with slots: one of `of` gateways is of the previous build, which uses none and
/// reports neither held requests nor queues.
fn mixed_builds(of: usize) -> (Results, Results) {
    let mut plan = overload();
    plan.network.gateways_without = of;
    compare(&plan, &["urgent", "patient"])
}

/// Guards against owners that do not count the requests of gateways without slots, and against requests
/// that wait for owners that know none.
///
/// Without slots, 86.8 % of the urgent requests are in time.
#[test]
fn slots_an_eighth_of_the_gateways_uses_none() {
    let (off, auto) = mixed_builds(8);
    let (urgent, urgent_off) = (in_time(&auto.route("urgent")), in_time(&off.route("urgent")));
    assert!(urgent >= urgent_off, "{urgent:.3} in time, off {urgent_off:.3}");
    assert!(rejected(&auto.all()) <= 0.001, "{:.4} rejected", rejected(&auto.all()));
}

/// As above, in the middle of the roll-out. Requests of the previous build overtake those that wait for a
/// slot, so 80 % of the urgent ones are in time instead of 86.8 % without slots; as many are served.
#[test]
fn slots_half_of_the_gateways_use_none() {
    let (off, auto) = mixed_builds(2);
    let (all, all_off) = (served(&auto.all()), served(&off.all()));
    assert!(all >= all_off - 0.02, "{all:.3} served, off {all_off:.3}");
    assert!(rejected(&auto.all()) <= 0.001, "{:.4} rejected", rejected(&auto.all()));
    let urgent = auto.route("urgent");
    assert!(served(&urgent) >= 0.98, "{:.3} of the urgent ones served", served(&urgent));
}
