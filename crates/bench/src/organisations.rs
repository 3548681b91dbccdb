//! What a request's organisation costs a gateway beside 10 to 10,000 organisations: its key and its quota.
//!
//! It owns the organisations; it relies on the key's digest, on the index and on the quotas, without input or output.

use std::hint;
use std::time::{Duration, Instant};

use model::{id, key, organisation, routing};
use steer::dispatch::quota::{self, usage};

use crate::output;

/// Organisations.
const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

/// Requests that are measured.
const REQUESTS: usize = 200_000;

/// Other nodes that report what they are asked.
const NODES: usize = 20;

/// Organisations that are near their limits, so that all nodes report them.
const NEAR: usize = 10;

/// Time between two requests, by the clock that is passed in.
const PAUSE: Duration = Duration::from_micros(50);

const TEXT: &str = "# Cost of an organisation\n\n\
    Regenerate with `cargo run --release -p yokespoke-bench -- organisations --out docs/measurements`.\n\n\
    One gateway's accounts beside the named number of organisations, each with a limit, ten of them near it and reported by \
    twenty other nodes. A key is its digest and the look for its organisation; a quota is the admission of one request; a \
    report is what the node works out for the others, ten times a second. Means of one run, in microseconds of the \
    machine that ran it.";

/// Measures beside each number of organisations.
///
/// # Errors
///
/// Never in practice: the organisations share no key.
pub fn run() -> anyhow::Result<output::Output> {
    let mut rows = Vec::new();
    for size in SIZES {
        let accounts = Accounts::new(size)?;
        let times = [accounts.keys(), accounts.quotas(), accounts.reports()];
        let times = times.map(|time| format!("{:.3}", time.as_secs_f64() * 1e6));
        rows.push([vec![size.to_string()], times.to_vec()].concat());
    }
    let columns = ["organisations", "key µs", "quota µs", "report µs"].map(str::to_owned).to_vec();
    let table = output::Table { title: "Time of an organisation".to_owned(), columns, rows };
    Ok(output::Output {
        name: "organisations",
        text: TEXT.to_owned(),
        tables: vec![table],
        plots: Vec::new(),
    })
}

/// Organisations with their keys.
struct Accounts {
    index: organisation::Index,
    keys: Vec<String>,
    names: Vec<id::Organisation>,
}

impl Accounts {
    fn new(size: usize) -> anyhow::Result<Self> {
        let keys: Vec<String> = (0..size).map(|n| format!("key-of-organisation-{n:06}")).collect();
        let names: Vec<_> = (0..size).map(|n| id::Organisation::new(&format!("o-{n}"))).collect();
        let all = names.iter().zip(&keys).map(|(name, key)| organisation::Organisation {
            name: name.clone(),
            keys: vec![key::Digest::of(key.as_bytes())],
            priority: 0,
            quota: Some(organisation::Quota { rate: 1e6, burst: 1e6 }),
            home_regions: Vec::new(),
        });
        let index = organisation::Index::new(all)
            .map_err(|(first, second)| anyhow::anyhow!("{first} and {second} share a key"))?;
        Ok(Self { index, keys, names })
    }

    fn keys(&self) -> Duration {
        let began = Instant::now();
        for number in 0..REQUESTS {
            let key = &self.keys[number % self.keys.len()];
            hint::black_box(self.index.find(&key::Digest::of(key.as_bytes())));
        }
        began.elapsed() / u32::try_from(REQUESTS).unwrap_or(u32::MAX)
    }

    /// Returns the accounts of a node that others report the organisations near their limits.
    fn quotas_of_a_node(&self, now: Instant) -> quota::Quotas {
        let mut quotas = quota::Quotas::new(&id::Node::new("n"), 20.0, now);
        let routing = routing::Routing::default().with_organisations(self.index.clone());
        quotas.configure(&routing, now);
        let usage = |name| usage::Usage {
            asked: 5.0,
            admitted: 5.0,
            is_near: true,
            ..usage::Usage::idle(usage::Key::for_organisation(name))
        };
        let usages: Vec<_> = self.names.iter().take(NEAR).map(usage).collect();
        for node in 0..NODES {
            quotas.receive(&id::Node::new(&format!("n-{node}")), &usages, now);
        }
        quotas
    }

    fn quotas(&self) -> Duration {
        let mut now = Instant::now();
        let mut quotas = self.quotas_of_a_node(now);
        let began = Instant::now();
        for number in 0..REQUESTS {
            now += PAUSE;
            let admitted = quotas.admit(&self.names[number % self.names.len()], now);
            hint::black_box(admitted.is_ok());
        }
        began.elapsed() / u32::try_from(REQUESTS).unwrap_or(u32::MAX)
    }

    fn reports(&self) -> Duration {
        let mut now = Instant::now();
        let mut quotas = self.quotas_of_a_node(now);
        let times = u32::try_from(REQUESTS / 100).unwrap_or(u32::MAX);
        let began = Instant::now();
        for _ in 0..times {
            now += PAUSE;
            hint::black_box(quotas.report(now));
        }
        began.elapsed() / times
    }
}
