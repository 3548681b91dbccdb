//! Growth: what one node keeps, says and computes, by the size of the fleet.

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

/// Measures.
///
/// # Errors
///
/// Fails when the resident set cannot be read.
pub fn run(seed: u64) -> anyhow::Result<output::Output> {
    let mut rows = Vec::new();
    let mut bytes = Vec::new();
    let mut time = Vec::new();
    let mut memory = Vec::new();
    for size in SIZES {
        let measured = fleet::measure(size)?;
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let nodes = size as f64;
        bytes.push((nodes, measured.bytes_per_second / 1_000.0));
        time.push((nodes, measured.share_of_core * 100.0));
        memory.push((nodes, measured.resident_mb));
        rows.push(vec![
            size.to_string(),
            measured.regions.to_string(),
            format!("{:.1}", measured.messages_per_second),
            format!("{:.2}", measured.bytes_per_second / 1_000.0),
            format!("{:.3}", measured.share_of_core * 100.0),
            format!("{:.2}", measured.resident_mb),
            measured.alive.to_string(),
        ]);
    }
    let lines = [
        ("control-bytes", "KB/s a node", bytes),
        ("control-time", "% of a core", time),
        ("control-memory", "MB a node", memory),
    ];
    let fits = lines.iter().map(|(name, unit, points)| {
        let (slope, start, fit) = output::fit(points);
        let row = [
            (*name).to_owned(),
            (*unit).to_owned(),
            format!("{start:.3}"),
            format!("{slope:.5}"),
            format!("{fit:.3}"),
        ];
        row.to_vec()
    });
    let fits = fits.collect();
    let columns = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    let mut tables = vec![
        output::Table {
            title: "One node, by nodes of the fleet".to_owned(),
            columns: columns(&[
                "nodes",
                "regions",
                "messages/s",
                "KB/s",
                "% of a core",
                "MB",
                "nodes known alive",
            ]),
            rows,
        },
        output::Table {
            title: "Straight lines through them".to_owned(),
            columns: columns(&["line", "unit", "start", "slope a node", "R²"]),
            rows: fits,
        },
    ];
    let plots = lines.map(|(name, unit, points)| output::Plot {
        name: name.to_owned(),
        title: format!("{name} by nodes of the fleet"),
        axes: ("nodes".to_owned(), unit.to_owned()),
        lines: vec![("measured".to_owned(), points)],
    });
    let (table, plot) = blocks::measure(seed)?;
    tables.push(table);
    let plots = plots.into_iter().chain([plot]).collect();
    Ok(output::Output { name: "scale", text: TEXT.to_owned(), tables, plots })
}

/// Returns the process's resident set, in megabytes.
///
/// # Errors
///
/// Fails when the kernel does not tell.
pub fn resident_mb() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse().ok());
    let kilobytes: f64 = kilobytes.ok_or_else(|| anyhow::anyhow!("no VmRSS in the status"))?;
    Ok(kilobytes / 1_000.0)
}
