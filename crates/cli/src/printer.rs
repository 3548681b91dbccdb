//! What a person at the terminal sees: results on standard output, the rest on standard error.

use std::io::Write as _;

use anstyle::{AnsiColor, Style};

const RED: Style = AnsiColor::Red.on_default().bold();
const YELLOW: Style = AnsiColor::Yellow.on_default().bold();

/// Prints an error with its causes.
pub fn error(error: &anyhow::Error) {
    let _ = writeln!(anstream::stderr(), "{RED}error{RED:#}: {error:#}");
}

/// Prints a warning.
pub fn warning(message: &str) {
    let _ = writeln!(anstream::stderr(), "{YELLOW}warning{YELLOW:#}: {message}");
}

/// Prints a note on progress.
pub fn note(message: &str) {
    let _ = writeln!(anstream::stderr(), "{message}");
}

/// Prints a result, a line of its own.
pub fn line(text: &str) {
    let _ = writeln!(anstream::stdout(), "{text}");
}

/// Prints a result as it is.
pub fn raw(text: &str) {
    let mut out = anstream::stdout();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}

/// Returns rows as columns of equal width; all but the first column stand to the right.
#[must_use]
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let lines = std::iter::once(&header).chain(rows).map(|row| row_of(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn row_of(row: &[String], widths: &[usize]) -> String {
    let cell = |(index, (cell, width)): (usize, (&String, &usize))| match index {
        0 => format!("{cell:<width$}"),
        _ => format!("{cell:>width$}"),
    };
    let cells: Vec<String> = row.iter().zip(widths).enumerate().map(cell).collect();
    cells.join("  ").trim_end().to_owned()
}
