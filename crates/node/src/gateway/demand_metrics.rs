//! Demand of regions as gauges by service and region.

use std::cell;
use std::fmt::Write as _;

use steer::dispatch::region::demand;

/// Demand that one service has in one region.
#[derive(Clone, Debug)]
struct Row {
    /// Labels of the series.
    labels: String,
    per_second: f64,
    /// Share of the demand that splits assume; `None` while they assume equal shares.
    share: Option<f64>,
}

/// Demand of regions, for services with upstreams in several regions.
#[derive(Debug, Default)]
pub struct Gauges {
    rows: cell::RefCell<Vec<Row>>,
}

impl Gauges {
    /// Replaces the figures.
    pub fn set(&self, demand: &demand::Demand) {
        let rows = demand.rates().map(|(service, region, per_second)| Row {
            labels: format!(
                "service=\"{}\",region=\"{}\"",
                escaped(service.as_str()),
                escaped(region.as_str())
            ),
            per_second,
            share: demand.shares(service).and_then(|shares| shares.get(region)).copied(),
        });
        *self.rows.borrow_mut() = rows.collect();
    }

    /// Writes the figures; nothing where no demand is known.
    pub fn write(&self, text: &mut String) {
        let rows = self.rows.borrow();
        write_series(text, "demand_per_second", &rows, |row| Some(row.per_second));
        write_series(text, "demand_share_used", &rows, |row| row.share);
    }
}

fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"")
}

// Writing to a string cannot fail, so the results below are ignored.

fn write_series(text: &mut String, name: &str, rows: &[Row], of: impl Fn(&Row) -> Option<f64>) {
    let values: Vec<(&str, f64)> =
        rows.iter().filter_map(|row| Some((row.labels.as_str(), of(row)?))).collect();
    if values.is_empty() {
        return;
    }
    let _ = writeln!(text, "# TYPE yokespoke_{name} gauge");
    for (labels, value) in values {
        let _ = writeln!(text, "yokespoke_{name}{{{labels}}} {value}");
    }
}
