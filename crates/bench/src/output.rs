//! Tables and plots of a measurement.
//!
//! It stays because both measurements of this package are written by it, and nothing else writes
//! the pages of `docs/measurements/`. It owns the three forms of a result and the fit of a line; it
//! relies on no other module.

use std::fs;
use std::path;

use anyhow::Context as _;
use plotters::prelude::*;
use serde_json::{Value, json};

/// A measurement's result.
#[derive(Debug)]
pub struct Output {
    /// Name of its files.
    pub name: &'static str,
    /// Heading and text before the tables.
    pub text: String,
    /// Tables.
    pub tables: Vec<Table>,
    /// Plots.
    pub plots: Vec<Plot>,
}

/// A table; cells are printed as they are.
#[derive(Debug)]
pub struct Table {
    /// Heading.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows.
    pub rows: Vec<Vec<String>>,
}

/// A plot of lines over linear axes that begin at zero.
#[derive(Debug)]
pub struct Plot {
    /// Name of its file.
    pub name: String,
    /// Heading.
    pub title: String,
    /// What the axes show.
    pub axes: (String, String),
    /// Lines with their names.
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
}

impl Output {
    /// Returns the result as Markdown.
    #[must_use]
    pub fn as_markdown(&self) -> String {
        let mut text = format!("{}\n", self.text);
        for table in &self.tables {
            text.push_str(&format!("\n## {}\n\n", table.title));
            text.push_str(&format!("| {} |\n", table.columns.join(" | ")));
            text.push_str(&format!("|{}\n", " --- |".repeat(table.columns.len())));
            for row in &table.rows {
                text.push_str(&format!("| {} |\n", row.join(" | ")));
            }
        }
        for plot in &self.plots {
            text.push_str(&format!("\n![{}]({}.svg)\n", plot.title, plot.name));
        }
        text
    }

    /// Returns the tables as JSON.
    #[must_use]
    pub fn as_json(&self) -> Value {
        let table = |table: &Table| {
            let row = |row: &Vec<String>| {
                let pairs = table.columns.iter().cloned().zip(row.iter().cloned().map(Value::from));
                Value::Object(pairs.collect())
            };
            json!({ "title": table.title, "rows": table.rows.iter().map(row).collect::<Vec<_>>() })
        };
        json!({ "name": self.name, "tables": self.tables.iter().map(table).collect::<Vec<_>>() })
    }

    /// Writes the page and its plots into a folder.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written.
    pub fn write(&self, folder: &path::Path) -> anyhow::Result<()> {
        fs::create_dir_all(folder).context("cannot make the folder")?;
        fs::write(folder.join(format!("{}.md", self.name)), self.as_markdown())?;
        self.plots.iter().try_for_each(|plot| plot.write(folder))
    }
}

impl Plot {
    fn write(&self, folder: &path::Path) -> anyhow::Result<()> {
        let file = folder.join(format!("{}.svg", self.name));
        let area = SVGBackend::new(&file, (760, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let points = || self.lines.iter().flat_map(|(_, line)| line);
        let greatest_x = points().map(|(x, _)| *x).fold(0.0, f64::max) * 1.05;
        let greatest_y = points().map(|(_, y)| *y).fold(0.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..greatest_x, 0.0..greatest_y)?;
        chart.configure_mesh().x_desc(&self.axes.0).y_desc(&self.axes.1).draw()?;
        for (index, (name, line)) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let drawn = LineSeries::new(line.iter().copied(), color.stroke_width(2)).point_size(3);
            chart
                .draw_series(drawn)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }
}

/// Returns the slope and the start of the straight line through points, and how well it fits (R²).
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let over = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let under = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = over / under.max(f64::MIN_POSITIVE);
    let start = mean_y - slope * mean_x;
    let missed = points.iter().map(|(x, y)| (y - start - slope * x).powi(2)).sum::<f64>();
    let all = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
    let fit = if all > 0.0 { 1.0 - missed / all } else { 1.0 };
    (slope, start, fit)
}
