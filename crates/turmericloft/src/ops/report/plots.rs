//! Plots of a report as inline SVG, coloured by the page's style.

use maud::{Markup, html};

use super::phrases::time_of_day;
use crate::core::counting::report::{Completeness, Line, Report, Window};

/// Width of a plot, in SVG units.
const WIDTH: f64 = 860.0;
/// Height of a plot over time, in SVG units.
const HEIGHT: f64 = 220.0;
/// Space left of a plot's values, for labels.
const LEFT: f64 = 150.0;
/// Space right of a plot's values.
const RIGHT: f64 = 70.0;
/// Space above a plot's values, for its key.
const TOP: f64 = 28.0;
/// Space below a plot's values, for times.
const BOTTOM: f64 = 24.0;
/// Height of one bar with its distance to the next.
const BAR_STEP: f64 = 24.0;
/// Height of one bar.
const BAR_HEIGHT: f64 = 16.0;
/// Most bars; the largest are shown.
const MAX_BARS: usize = 12;

/// One line of a plot over time; a value may be unknown.
struct Series {
    name: &'static str,
    value: fn(&Line) -> Option<f64>,
}

const LATENCY: [Series; 3] = [
    Series {
        name: "p50",
        value: |l| l.p50.map(|t| t.as_secs_f64() * 1000.0),
    },
    Series {
        name: "p95",
        value: |l| l.p95.map(|t| t.as_secs_f64() * 1000.0),
    },
    Series {
        name: "p99",
        value: |l| l.p99.map(|t| t.as_secs_f64() * 1000.0),
    },
];
const NOT_SERVED: [Series; 4] = [
    Series {
        name: "refused",
        value: |l| Some(l.refused as f64),
    },
    Series {
        name: "not run",
        value: |l| Some(l.not_run as f64),
    },
    Series {
        name: "unknown",
        value: |l| Some(l.unknown as f64),
    },
    Series {
        name: "unfinished",
        value: |l| Some(l.unfinished as f64),
    },
];

/// Bars: the share of each group in all requests admitted.
pub(super) fn share(report: &Report) -> Markup {
    let mut lines: Vec<&Line> = report.lines.iter().collect();
    lines.sort_by_key(|l| std::cmp::Reverse(l.admitted));
    let hidden = lines.len().saturating_sub(MAX_BARS);
    lines.truncate(MAX_BARS);
    let height = BAR_STEP * lines.len() as f64;
    let scale = (WIDTH - LEFT - RIGHT) / 100.0;
    html! {
        h2 { "Share of requests by " (report.by) }
        svg viewBox={ "0 0 " (WIDTH) " " (height) } width=(WIDTH) height=(height) role="img"
            aria-label="Share of requests" {
            @for (i, line) in lines.iter().enumerate() {
                @let y = BAR_STEP * i as f64;
                text x=(LEFT - 8.0) y=(y + 13.0) text-anchor="end" { (shortened(&line.name)) }
                rect class="f0" x=(LEFT) y=(y) height=(BAR_HEIGHT)
                    width=(rounded(scale * line.share_percent)) {
                    title { (line.name) ": " (line.admitted) " requests" }
                }
                text x=(rounded(LEFT + scale * line.share_percent + 6.0)) y=(y + 13.0) {
                    (format!("{:.1}%", line.share_percent))
                }
            }
        }
        @if hidden > 0 { p { (hidden) " more in the table below." } }
    }
}

/// Lines: percentiles of the times of served requests, in milliseconds.
pub(super) fn latency(report: &Report) -> Markup {
    html! {
        h2 { "Time to answer, in milliseconds" }
        (over_time(&report.windows, &LATENCY))
    }
}

/// Lines: requests that ended other than served.
pub(super) fn not_served(report: &Report) -> Markup {
    html! {
        h2 { "Requests refused, not run, unknown or unfinished" }
        (over_time(&report.windows, &NOT_SERVED))
    }
}

fn over_time(windows: &[Window], series: &[Series]) -> Markup {
    let values = || {
        series
            .iter()
            .flat_map(|s| windows.iter().filter_map(|w| (s.value)(&w.total)))
    };
    let highest = values().fold(1.0_f64, f64::max);
    let x = |i: usize| rounded(LEFT + (i as f64 + 0.5) * slot_width(windows));
    let y = |value: f64| rounded(HEIGHT - BOTTOM - value / highest * (HEIGHT - TOP - BOTTOM));
    html! {
        svg viewBox={ "0 0 " (WIDTH) " " (HEIGHT) } width=(WIDTH) height=(HEIGHT) role="img"
            aria-label="Values over time" {
            (gaps(windows))
            @for value in [0.0, highest / 2.0, highest] {
                line class="axis" x1=(LEFT) x2=(WIDTH - RIGHT) y1=(y(value)) y2=(y(value)) {}
                text x=(LEFT - 8.0) y=(y(value) + 4.0) text-anchor="end" {
                    (format!("{value:.1}"))
                }
            }
            @for (i, s) in series.iter().enumerate() {
                text x=(LEFT + 120.0 * i as f64 + 16.0) y="14" { (s.name) }
                rect class={ "f" (i) } x=(LEFT + 120.0 * i as f64) y="4" width="10" height="10" {}
                @for run in runs(windows, s) {
                    polyline class={ "s" (i) }
                        points=(run.iter().map(|p| format!("{},{}", x(p.window), y(p.value)))
                            .collect::<Vec<_>>().join(" ")) {}
                    @for p in &run {
                        circle class={ "f" (i) } cx=(x(p.window)) cy=(y(p.value)) r="2.5" {}
                    }
                }
            }
            @if let (Some(first), Some(last)) = (windows.first(), windows.last()) {
                text x=(LEFT) y=(HEIGHT - 6.0) { (time_of_day(first.period.from_ms)) }
                text x=(WIDTH - RIGHT) y=(HEIGHT - 6.0) text-anchor="end" {
                    (time_of_day(last.period.to_ms)) " UTC"
                }
            }
        }
        @if windows.iter().any(is_incomplete) { p { "Shaded: counts are incomplete." } }
    }
}

/// A known value of a series.
struct Point {
    window: usize,
    value: f64,
}

/// Known values in a row; a window without a value ends a run.
fn runs(windows: &[Window], series: &Series) -> Vec<Vec<Point>> {
    let mut runs = vec![Vec::new()];
    for (window, w) in windows.iter().enumerate() {
        match ((series.value)(&w.total), runs.last_mut()) {
            (Some(value), Some(run)) => run.push(Point { window, value }),
            _ => runs.push(Vec::new()),
        }
    }
    runs.retain(|run| !run.is_empty());
    runs
}

fn gaps(windows: &[Window]) -> Markup {
    let width = slot_width(windows);
    html! {
        @for (i, _) in windows.iter().enumerate().filter(|(_, w)| is_incomplete(w)) {
            rect class="gap" x=(rounded(LEFT + i as f64 * width)) y=(TOP) width=(rounded(width))
                height=(HEIGHT - TOP - BOTTOM) {}
        }
    }
}

fn is_incomplete(window: &Window) -> bool {
    window.total.completeness == Completeness::Incomplete
}

fn slot_width(windows: &[Window]) -> f64 {
    (WIDTH - LEFT - RIGHT) / windows.len().max(1) as f64
}

/// A coordinate to one decimal.
fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// A name that fits beside a bar.
fn shortened(name: &str) -> String {
    const CHARS: usize = 20;
    if name.chars().count() <= CHARS {
        return name.to_owned();
    }
    name.chars().take(CHARS - 1).chain(['…']).collect()
}
