//! Growth: what one node stores, sends and computes, by the size of the fleet.
//!
//! It stays because it measures nodes that own upstreams; the users' bench measures how a fleet of
//! gateways grows. It owns the sizes and the tables; it relies on [`fleet`] and [`blocks`] for the
//! figures.

mod blocks;
mod fleet;

use crate::output;

/// Fleet sizes: today's, and three doublings. The work of one process grows with the square of
/// this, and every few hundred nodes would take it minutes.
const SIZES: [usize; 4] = [12, 24, 48, 96];

const TEXT: &str = "# Growth with the fleet\n\n\
    Regenerate with `cargo run --release -p yokespoke-bench -- scale --out docs/measurements`.\n\n\
    Cores of the decision package exchange their beats under a virtual clock; bytes are those of \
    the encoded messages, both ways, without the transport's own. Time is what one node's decisions \
    take of a core, without requests. Memory is the process's resident set, divided by the nodes in \
    it.";

/// A fleet's size, and what one of its nodes needs.
type Sample = (usize, fleet::Measured);

/// One figure by the size of the fleet.
struct Line {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

/// Measures all fleet sizes, then the table of client blocks.
///
/// # Errors
///
/// Fails when the resident set cannot be read.
pub fn run(seed: u64) -> anyhow::Result<output::Output> {
    let mut samples = Vec::new();
    for size in SIZES {
        samples.push((size, fleet::measure(size)?));
    }
    let lines = [
        Line::new("control-bytes", "KB/s a node", &samples, kilobytes_per_second),
        Line::new("control-time", "% of a core", &samples, percent_of_core),
        Line::new("control-memory", "MB a node", &samples, |measured| measured.resident_mb),
    ];
    let (blocks_table, blocks_plot) = blocks::measure(seed)?;
    let tables = vec![by_nodes(&samples), fits(&lines), blocks_table];
    let plots = lines.into_iter().map(Line::plot).chain([blocks_plot]).collect();
    Ok(output::Output { name: "scale", text: TEXT.to_owned(), tables, plots })
}

impl Line {
    fn new(
        name: &'static str,
        unit: &'static str,
        samples: &[Sample],
        figure: impl Fn(&fleet::Measured) -> f64,
    ) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let point = |(size, measured): &Sample| (*size as f64, figure(measured));
        Self { name, unit, points: samples.iter().map(point).collect() }
    }

    /// Returns a row of the straight line through the points.
    fn fit(&self) -> Vec<String> {
        let (slope, start, fit) = output::fit(&self.points);
        vec![
            self.name.to_owned(),
            self.unit.to_owned(),
            format!("{start:.3}"),
            format!("{slope:.5}"),
            format!("{fit:.3}"),
        ]
    }

    fn plot(self) -> output::Plot {
        output::Plot {
            name: self.name.to_owned(),
            title: format!("{} by nodes of the fleet", self.name),
            axes: ("nodes".to_owned(), self.unit.to_owned()),
            lines: vec![("measured".to_owned(), self.points)],
        }
    }
}

fn kilobytes_per_second(measured: &fleet::Measured) -> f64 {
    measured.bytes_per_second / 1_000.0
}

fn percent_of_core(measured: &fleet::Measured) -> f64 {
    measured.share_of_core * 100.0
}

fn by_nodes(samples: &[Sample]) -> output::Table {
    let columns =
        ["nodes", "regions", "messages/s", "KB/s", "% of a core", "MB", "nodes known alive"];
    let row = |(size, measured): &Sample| {
        vec![
            size.to_string(),
            measured.regions.to_string(),
            format!("{:.1}", measured.messages_per_second),
            format!("{:.2}", kilobytes_per_second(measured)),
            format!("{:.3}", percent_of_core(measured)),
            format!("{:.2}", measured.resident_mb),
            measured.alive.to_string(),
        ]
    };
    output::Table {
        title: "One node, by nodes of the fleet".to_owned(),
        columns: columns.map(str::to_owned).to_vec(),
        rows: samples.iter().map(row).collect(),
    }
}

fn fits(lines: &[Line]) -> output::Table {
    let columns = ["line", "unit", "start", "slope a node", "R²"];
    output::Table {
        title: "Straight lines through them".to_owned(),
        columns: columns.map(str::to_owned).to_vec(),
        rows: lines.iter().map(Line::fit).collect(),
    }
}

/// Returns the process's resident set, in megabytes.
///
/// # Errors
///
/// Fails when the kernel's status file cannot be read or has no such line.
pub fn resident_mb() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse().ok());
    let kilobytes: f64 = kilobytes.ok_or_else(|| anyhow::anyhow!("no VmRSS in the status"))?;
    Ok(kilobytes / 1_000.0)
}
