//! Client blocks: memory and time of the table that finds a caller's place.
//!
//! It stays because only nodes that own upstreams find a caller's place by its address: the users'
//! bench, which measures gateways, has no such table. It owns the blocks that it measures with; it
//! relies on [`model::blocks`].

use std::net;
use std::time::{Duration, Instant};

use model::blocks;
use model::id;
use model::place;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::output;
use crate::scale;

/// Numbers of blocks: up to the target.
const SIZES: [u32; 4] = [55_000, 110_000, 220_000, 440_000];

/// Places that the blocks belong to; those of the target.
const PLACES: u32 = 53;

/// Look-ups that are timed; not measured.
const LOOKUPS: u32 = 1_000_000;

/// Measures.
///
/// # Errors
///
/// Fails when the resident set cannot be read.
pub fn measure(seed: u64) -> anyhow::Result<(output::Table, output::Plot)> {
    let mut rows = Vec::new();
    let mut points = Vec::new();
    for size in SIZES {
        let places = places(size);
        let before = scale::resident_mb()?;
        let began = Instant::now();
        let table = blocks::Table::new(places.iter());
        let built = began.elapsed();
        let memory = scale::resident_mb()? - before;
        let time = time_of_lookup(&table, seed);
        points.push((f64::from(size) / 1_000.0, memory));
        rows.push(vec![
            table.len().to_string(),
            format!("{memory:.1}"),
            format!("{:.0}", built.as_secs_f64() * 1_000.0),
            format!("{:.0}", time.as_secs_f64() * 1e9),
        ]);
    }
    let columns = ["client blocks", "MB", "built in ms", "ns a look-up"];
    let table = output::Table {
        title: "The table of client blocks".to_owned(),
        columns: columns.map(str::to_owned).to_vec(),
        rows,
    };
    let plot = output::Plot {
        name: "client-blocks".to_owned(),
        title: "Memory of the table of client blocks".to_owned(),
        axes: ("thousand blocks".to_owned(), "MB".to_owned()),
        lines: vec![("measured".to_owned(), points)],
    };
    Ok((table, plot))
}

/// Returns places with /24 blocks in turn, as dense as an address plan gets.
fn places(size: u32) -> Vec<place::Place> {
    let block = |number: u32| {
        let address = net::Ipv4Addr::from(0x0100_0000 + number * 256);
        ipnet::IpNet::V4(ipnet::Ipv4Net::new_assert(address, 24))
    };
    let place = |number: u32| place::Place {
        name: id::Place::new(&format!("place-{number}")),
        blocks: (0..size).filter(|b| b % PLACES == number).map(block).collect(),
        links: Vec::new(),
    };
    (0..PLACES).map(place).collect()
}

fn time_of_lookup(table: &blocks::Table, seed: u64) -> Duration {
    let mut random = SmallRng::seed_from_u64(seed);
    let callers: Vec<net::IpAddr> = (0..LOOKUPS)
        .map(|_| net::Ipv4Addr::from(random.random_range(0x0100_0000_u32..0x0800_0000)).into())
        .collect();
    let began = Instant::now();
    let found = callers.iter().filter(|caller| table.find(**caller).is_some()).count();
    let time = began.elapsed() / LOOKUPS;
    assert!(found > 0, "some callers have a place");
    time
}
