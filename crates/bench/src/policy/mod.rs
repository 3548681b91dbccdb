//! Policies side by side: the decision package against baselines and an ideal.
//!
//! A virtual clock and one event queue drive twelve nodes, their upstreams and callers. Delays are
//! fixed, times of service are drawn. Reports and summaries lag as they do in a fleet.

mod deployment;
mod figures;
mod fleet;
mod scenario;
mod sim;

use crate::output;

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decision package.
    Homes,
    /// Any upstream of the nearest region.
    Random,
    /// Each upstream of the nearest region in turn, at each entry.
    RoundRobin,
    /// The one that reported the least load.
    LeastReported,
    /// The less loaded, by its report, of two at random.
    PowerOfTwo,
    /// One queue for each region that sees every slot at once.
    Ideal,
}

impl Policy {
    const ALL: [Self; 6] = [
        Self::Homes,
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::PowerOfTwo,
        Self::Ideal,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Homes => "homes",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported",
            Self::PowerOfTwo => "power of two",
            Self::Ideal => "ideal",
        }
    }
}

const TEXT: &str = "# Policies side by side\n\n\
    Regenerate with `cargo run --release -p yokespoke-bench -- policy --out docs/measurements`.\n\n\
    One service of each deployment (catalogue, rhestr), twelve nodes, the delays of the brief, \
    times of service drawn from an exponential distribution with a mean of 100 ms. Latency is what \
    a caller sees, in milliseconds. *Overloads* are requests that reached an upstream whose slots \
    were all taken; there they wait. *Use* is the greatest part of a region's slots in use. \
    *Refused* is the share told not run. *Drain* is the time from a drain's start to the last new \
    work. *Ideal* is one queue for each region that sees all slots without delay; it moves no \
    traffic between regions.";

/// Measures every policy in every scenario.
///
/// # Errors
///
/// Fails when an example's declarations are malformed.
pub fn run(seed: u64) -> anyhow::Result<output::Output> {
    let mut tables = Vec::new();
    let mut plots = Vec::new();
    for deployment in [deployment::Deployment::diagne()?, deployment::Deployment::taf()?] {
        let mut rows = Vec::new();
        let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
        for scenario in scenario::ALL {
            let mut ideal_p99 = f64::NAN;
            for policy in Policy::ALL.into_iter().rev() {
                if !scenario.suits(policy) {
                    continue;
                }
                let figures = sim::run(&deployment, policy, scenario, seed);
                if policy == Policy::Ideal {
                    ideal_p99 = figures.p99_ms;
                }
                rows.push(figures.row(scenario.name(), policy.name(), ideal_p99));
                if let scenario::Scenario::Steady(percent) = scenario {
                    add(&mut lines, policy.name(), (f64::from(percent), figures.p99_ms));
                }
            }
        }
        tables.push(output::Table {
            title: deployment.name.to_owned(),
            columns: figures::COLUMNS.map(str::to_owned).to_vec(),
            rows,
        });
        plots.push(output::Plot {
            name: format!("policy-{}", deployment.name),
            title: format!("{}: p99 latency by steady load", deployment.name),
            axes: ("load, % of slots".to_owned(), "p99, ms".to_owned()),
            lines,
        });
    }
    Ok(output::Output { name: "policy", text: TEXT.to_owned(), tables, plots })
}

fn add(lines: &mut Vec<(String, Vec<(f64, f64)>)>, name: &str, point: (f64, f64)) {
    match lines.iter_mut().find(|(other, _)| other == name) {
        Some((_, line)) => line.push(point),
        None => lines.push((name.to_owned(), vec![point])),
    }
}
