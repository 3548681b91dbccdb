//! The phases of the demo: what is done to the fleet while its callers send.
//!
//! It owns their order and what each measures; it relies on the fleet to inject the faults.

use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant, SystemTime};

use model::change;
use model::drain;
use model::id;
use model::resource;
use node::common::store::accept;
use standin::vms;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;

use crate::demo::owners::example;
use crate::demo::owners::fleet;
use crate::demo::owners::phase::{Measured, Phase};
use crate::demo::owners::report;
use crate::demo::owners::sampler;
use crate::demo::owners::shift;
use crate::demo::owners::traffic;
use crate::printer;

/// Time from the declaration of a hall's drain to its start: three windows of the examples' caps.
const HALL_LEAD: Duration = Duration::from_millis(3_300);

/// Runs all phases and reports.
///
/// # Errors
///
/// Fails when the fleet cannot be driven.
pub async fn run(
    fleet: &sync::Arc<Mutex<fleet::Fleet>>,
    example: &example::Example,
    length: Duration,
    seed: u64,
) -> anyhow::Result<report::Report> {
    let phase = sync::Arc::new(atomic::AtomicUsize::new(0));
    let log = sync::Arc::new(traffic::Log::default());
    let (stop, stopped) = watch::channel(false);
    let began = Instant::now();
    let mut streams = start_traffic(fleet, example, seed, &phase, &log, &stopped).await;
    let sampled = tokio::spawn(sampler::run(sync::Arc::clone(fleet), stopped.clone()));
    let mut measured = Vec::new();
    for (index, current) in Phase::ALL.into_iter().enumerate() {
        phase.store(index, atomic::Ordering::Relaxed);
        printer::note(current.name());
        let time = length * current.weight() / 19;
        let mut fleet = fleet.lock().await;
        measured.push(perform(current, &mut fleet, example, time).await?);
    }
    let load = (began, Instant::now());
    let _ = stop.send(true);
    while streams.join_next().await.is_some() {}
    let samples = sampled.await?;
    let mut fleet = fleet.lock().await;
    let seen = shift::Seen { record: &fleet.record, samples: &samples, load };
    let report = report::Report::new(example, &seen, &log.records(), measured)?;
    fleet.stop().await;
    Ok(report)
}

async fn start_traffic(
    fleet: &sync::Arc<Mutex<fleet::Fleet>>,
    example: &example::Example,
    seed: u64,
    phase: &sync::Arc<atomic::AtomicUsize>,
    log: &sync::Arc<traffic::Log>,
    stopped: &watch::Receiver<bool>,
) -> JoinSet<()> {
    let nodes: Vec<_> = fleet.lock().await.nodes.values().map(|n| n.listen.callers).collect();
    let mut streams = JoinSet::new();
    let mut number = 0_u64;
    for source in &example.sources {
        for load in &example.loads {
            number += 1;
            let places = u32::try_from(example.sources.len()).unwrap_or(1);
            let stream = traffic::Stream {
                rate: load.rate / f64::from(places),
                load: load.clone(),
                source: source.clone(),
                nodes: nodes.clone(),
                seed: seed.wrapping_mul(1_000).wrapping_add(number),
                phase: sync::Arc::clone(phase),
                log: sync::Arc::clone(log),
            };
            streams.spawn(stream.run(stopped.clone()));
        }
    }
    streams
}

async fn perform(
    phase: Phase,
    fleet: &mut fleet::Fleet,
    example: &example::Example,
    time: Duration,
) -> anyhow::Result<Measured> {
    match phase {
        Phase::Steady => {
            tokio::time::sleep(time).await;
            Ok(Measured::default())
        }
        Phase::Shift => drain_region(fleet, example, time).await,
        Phase::Hall => drain_hall(fleet, example, time).await,
        Phase::Leave => leave(fleet, example, time).await,
        Phase::Kill => kill(fleet, time).await,
        Phase::Outage => outage(fleet, example, time).await,
    }
}

/// Drains the last region: its traffic must be gone by the start, and move within the caps.
async fn drain_region(
    fleet: &fleet::Fleet,
    example: &example::Example,
    time: Duration,
) -> anyhow::Result<Measured> {
    let began = Instant::now();
    let lead = example.time_to_move() + Duration::from_millis(300);
    let Some(region) = example.regions.last() else { return Ok(Measured::default()) };
    let target = drain::Target::Region(region.clone());
    let name = region.to_string();
    drain_for(fleet, target, lead, began + time, move |a| a.region == name).await
}

/// Drains the first hall of the first region, as soon as what the other cannot hold has moved.
async fn drain_hall(
    fleet: &fleet::Fleet,
    example: &example::Example,
    time: Duration,
) -> anyhow::Result<Measured> {
    let began = Instant::now();
    let Some(region) = example.regions.first() else { return Ok(Measured::default()) };
    let hall = format!("{region}-1");
    let target = drain::Target::Hall(id::Hall::new(&hall));
    drain_for(fleet, target, HALL_LEAD, began + time, move |a| a.hall == hall).await
}

async fn drain_for(
    fleet: &fleet::Fleet,
    target: drain::Target,
    lead: Duration,
    until: Instant,
    is_hit: impl Fn(&standin::record::Arrival) -> bool,
) -> anyhow::Result<Measured> {
    let start = Instant::now() + lead;
    let wall = SystemTime::now() + lead;
    let left = until.saturating_duration_since(start);
    let drain =
        drain::Drain { name: id::Drain::new("demo"), target, start: wall, end: wall + left };
    let resource = resource::Resource::Drain(drain);
    let outcome = fleet.apply(change::Step::Put { resource }).await?;
    let mut measured = Measured::default();
    match outcome {
        accept::Outcome::Accepted { .. } => {}
        other => measured.broken.push(format!("the drain was not accepted: {other:?}")),
    }
    tokio::time::sleep_until((until - Duration::from_millis(100)).into()).await;
    let last = fleet.record.last_arrival(is_hit);
    measured.drain_time = last.map(|at| at.saturating_duration_since(start));
    tokio::time::sleep_until(until.into()).await;
    Ok(measured)
}

/// Takes one upstream off the VM list and lets it say so itself.
async fn leave(
    fleet: &fleet::Fleet,
    example: &example::Example,
    time: Duration,
) -> anyhow::Result<Measured> {
    let began = Instant::now();
    let first = example.services().next().and_then(|s| Some((s, s.upstreams.last()?)));
    let Some((service, declared)) = first else { return Ok(Measured::default()) };
    let key = (service.name.clone(), declared.name.clone());
    let Some(upstream) = fleet.upstreams.get(&key) else { return Ok(Measured::default()) };
    upstream.drain();
    fleet.vms.set(upstream.address.ip(), Some(vms::Standing::Leaving));
    tokio::time::sleep(time).await;
    let name = declared.name.to_string();
    let last = fleet.record.last_arrival(|a| a.upstream == name);
    let drain_time = last.map(|at| at.saturating_duration_since(began));
    Ok(Measured { drain_time, ..Measured::default() })
}

/// Kills one node; the platform notices later.
async fn kill(fleet: &mut fleet::Fleet, time: Duration) -> anyhow::Result<Measured> {
    if let Some((_, node)) = fleet.nodes.pop_first() {
        let vm = node.listen.peers.ip();
        tokio::task::spawn_blocking(move || node.kill()).await?;
        fleet.vms.set(vm, None);
    }
    tokio::time::sleep(time).await;
    Ok(Measured::default())
}

/// Takes the store away, and asks for a change meanwhile, which must be answered as unavailable.
async fn outage(
    fleet: &fleet::Fleet,
    example: &example::Example,
    time: Duration,
) -> anyhow::Result<Measured> {
    fleet.store.faults.set_outage(true);
    tokio::time::sleep(time / 2).await;
    let mut measured = Measured::default();
    let resource = example.resources.last().cloned();
    if let Some(resource) = resource {
        let during = fleet.apply(change::Step::Put { resource: resource.clone() }).await?;

        if during != accept::Outcome::Unavailable {
            measured.broken.push(format!("a change in the outage was answered {during:?}"));
        }
        tokio::time::sleep(time / 2).await;
        fleet.store.faults.set_outage(false);
        match fleet.apply(change::Step::Put { resource }).await? {
            accept::Outcome::Accepted { .. } => {}
            other => measured.broken.push(format!("a change after the outage: {other:?}")),
        }
    }
    fleet.store.faults.set_outage(false);
    Ok(measured)
}
