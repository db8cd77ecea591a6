//! HTML output of a report.

use maud::{DOCTYPE, Markup, PreEscaped, html};

use super::{
    formatting::{completeness, gap, milliseconds, period, resolution},
    plots,
};
use crate::core::counting::report::{Completeness, Line, Report};

/// Style sheet with a light and a dark colour scheme.
const STYLE: &str = include_str!("report.css");

/// Renders a self-contained page.
pub(super) fn render(report: &Report, explain: bool) -> String {
    let title = format!("{}: who got what", report.environment);
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { (title) }
                p { "Period: " (period(report)) }
                (completeness_section(report))
                (plots::share(report))
                (plots::latency(report))
                (plots::not_served(report))
                h2 { "By " (report.by) }
                (table(report))
                @if explain { (steps_table(report)) }
                (legend())
            }
        }
    };
    page.into_string() + "\n"
}

fn completeness_section(report: &Report) -> Markup {
    let class = match report.completeness {
        Completeness::Exact => "exact",
        Completeness::Incomplete => "incomplete",
    };
    html! {
        p class=(class) { "Counts: " (completeness(report)) }
        @if !report.gaps.is_empty() {
            ul { @for g in &report.gaps { li { (gap(g)) } } }
        }
    }
}

fn table(report: &Report) -> Markup {
    html! {
        div class="wide" { table {
            thead { tr {
                @for name in ["", "Share %", "Weighted %", "Carried in", "Admitted", "Served", "Refused",
                    "Not run", "Unknown", "Unfinished", "In flight", "p50 ms", "p95 ms",
                    "p99 ms", "Resolution", "Counts"] { th { (name) } }
            } }
            tbody { @for line in &report.lines { (row(line)) } }
            tfoot { (row(&report.total)) }
        } }
    }
}

fn row(line: &Line) -> Markup {
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
    html! {
        tr {
            th scope="row" { (line.name) }
            td { (format!("{:.1}", line.share_percent)) }
            td { (format!("{:.1}", line.weighted_share_percent)) }
            @for n in counts { td { (n) } }
            @for time in [line.p50, line.p95, line.p99] { td { (milliseconds(time)) } }
            td class="text" { (resolution(line)) }
            td class="text" { (line.completeness) }
        }
    }
}

fn steps_table(report: &Report) -> Markup {
    html! {
        h2 { "Where requests ended that were not served" }
        table {
            thead { tr { th { "" } th { "Outcome" } th { "Step" } th { "Requests" } } }
            tbody {
                @for line in &report.steps {
                    tr {
                        th scope="row" { (line.name) }
                        td class="text" { (line.outcome) }
                        td class="text" { (line.step.map_or("not known", Into::into)) }
                        td { (line.requests) }
                    }
                }
            }
        }
    }
}

fn legend() -> Markup {
    html! {
        h2 { "How to read this" }
        dl {
            dt { "Weighted %" } dd { "Share with each request counted by the weight of its kind." }
            dt { "Served" } dd { "The whole answer reached the caller." }
            dt { "Refused" } dd { "Turned away before anything was sent to a server." }
            dt { "Not run" } dd { "A booking, charge or the like that certainly did not run." }
            dt { "Unknown" } dd { "A booking, charge or the like that may have run." }
            dt { "Unfinished" } dd { "The answer was cut off." }
            dt { "In flight" } dd { "Not ended at the end of the period." }
            dt { "p50, p95, p99" }
            dd { "Time within which 50, 95 and 99 in 100 served requests were answered, within 7 percent." }
        }
        p { "Carried in + admitted = served + refused + not run + unknown + unfinished + in flight." }
    }
}
