//! Plain-text output of a report, for a terminal.

use std::fmt::Write;

use comfy_table::{CellAlignment, Table, presets};

use super::formatting::{completeness, gap, milliseconds, period, resolution, utc_timestamp};
use crate::core::counting::report::{Line, Report, Window};

const COLUMNS: [&str; 16] = [
    "",
    "share %",
    "weighted %",
    "carried",
    "admitted",
    "served",
    "refused",
    "not-run",
    "unknown",
    "unfinished",
    "in-flight",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "resolution",
    "counts",
];
/// Indices of the text columns, which are left-aligned; all others contain numbers.
const TEXT_COLUMNS: [usize; 3] = [0, 14, 15];
/// Minimum number of windows for the table over time; a single window equals the total.
const MIN_WINDOWS: usize = 2;

/// Renders a report as tables.
pub(super) fn render(report: &Report, explain: bool) -> String {
    let mut text = format!("{}: who got what, by {}\n", report.environment, report.by);
    let _ = writeln!(text, "period: {}", period(report));
    let _ = writeln!(text, "counts: {}", completeness(report));
    for g in &report.gaps {
        let _ = writeln!(text, "  {}", gap(g));
    }
    let lines = report.lines.iter().chain([&report.total]);
    push_table(&mut text, table(lines.map(|l| cells(&l.name, l))));
    if report.windows.len() >= MIN_WINDOWS {
        let rows = report.windows.iter().map(window_cells);
        text.push_str("\nover time:\n");
        push_table(&mut text, table(rows));
    }
    if explain {
        text.push_str("\nended other than served:\n");
        push_table(&mut text, steps_table(report));
    }
    text
}

fn window_cells(window: &Window) -> Vec<String> {
    cells(&utc_timestamp(window.period.from_ms), &window.total)
}

fn cells(name: &str, line: &Line) -> Vec<String> {
    let counts = [
        line.carried,
        line.admitted,
        line.served,
        line.refused,
        line.not_run,
        line.unknown,
        line.unfinished,
        line.in_flight,
    ];
    let mut cells = vec![name.to_owned()];
    let shares = [line.share_percent, line.weighted_share_percent];
    cells.extend(shares.map(|percent| format!("{percent:.1}")));
    cells.extend(counts.map(|n| n.to_string()));
    cells.extend([line.p50, line.p95, line.p99].map(milliseconds));
    cells.push(resolution(line));
    cells.push(line.completeness.to_string());
    cells
}

fn steps_table(report: &Report) -> Table {
    let mut table = empty_table();
    table.set_header(["", "outcome", "step", "requests"]);
    for line in &report.steps {
        let step = line.step.map_or("not known", Into::into);
        let outcome: &str = line.outcome.into();
        table.add_row([&line.name, outcome, step, &line.requests.to_string()]);
    }
    table
}

fn table(rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = empty_table();
    table.set_header(COLUMNS).add_rows(rows);
    for (i, column) in table.column_iter_mut().enumerate() {
        if !TEXT_COLUMNS.contains(&i) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

fn empty_table() -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table
}

fn push_table(text: &mut String, table: Table) {
    for line in table.lines() {
        text.push_str(line.trim_end());
        text.push('\n');
    }
}
