//! Plots of a report as inline SVG; the colours come from the style sheet of the page.

use maud::{Markup, html};

use super::formatting::utc_time_of_day;
use crate::core::counting::report::{Completeness, Line, Report, Window};

/// Width of a plot, in SVG units.
const WIDTH: f64 = 860.0;
/// Height of a time series plot, in SVG units.
const HEIGHT: f64 = 220.0;
/// Left padding for labels, in SVG units.
const PAD_LEFT: f64 = 150.0;
/// Right padding, in SVG units.
const PAD_RIGHT: f64 = 70.0;
/// Top padding for the legend, in SVG units.
const PAD_TOP: f64 = 28.0;
/// Bottom padding for the time labels, in SVG units.
const PAD_BOTTOM: f64 = 24.0;
/// Distance between the tops of two bars, in SVG units.
const BAR_PITCH: f64 = 24.0;
/// Height of a bar, in SVG units.
const BAR_HEIGHT: f64 = 16.0;
/// Maximum number of bars; the groups with the largest shares are shown.
const MAX_BARS: usize = 12;

/// One curve of a time series plot; `value` returns `None` for an unknown value.
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

/// Bar chart of the weighted share of each group in all admitted requests.
pub(super) fn share(report: &Report) -> Markup {
    let mut lines: Vec<&Line> = report.lines.iter().collect();
    lines.sort_by_key(|l| std::cmp::Reverse(weighted_per_mille(l)));
    let hidden = lines.len().saturating_sub(MAX_BARS);
    lines.truncate(MAX_BARS);
    let height = BAR_PITCH * lines.len() as f64;
    let scale = (WIDTH - PAD_LEFT - PAD_RIGHT) / 100.0;
    html! {
        h2 { "Share of requests by " (report.by) ", weighted by kind" }
        svg viewBox={ "0 0 " (WIDTH) " " (height) } width=(WIDTH) height=(height) role="img"
            aria-label="Share of requests" {
            @for (i, line) in lines.iter().enumerate() {
                @let y = BAR_PITCH * i as f64;
                text x=(PAD_LEFT - 8.0) y=(y + 13.0) text-anchor="end" {
                    (truncate_label(&line.name))
                }
                rect class="f0" x=(PAD_LEFT) y=(y) height=(BAR_HEIGHT)
                    width=(rounded(scale * line.weighted_share_percent)) {
                    title { (line.name) ": " (line.admitted) " requests" }
                }
                text x=(rounded(PAD_LEFT + scale * line.weighted_share_percent + 6.0))
                    y=(y + 13.0) {
                    (format!("{:.1}%", line.weighted_share_percent))
                }
            }
        }
        @if hidden > 0 { p { (hidden) " more in the table below." } }
    }
}

/// Time series of the latency percentiles of served requests, in milliseconds.
pub(super) fn latency(report: &Report) -> Markup {
    html! {
        h2 { "Time to answer, in milliseconds" }
        (time_series(&report.windows, &LATENCY))
    }
}

/// Time series of the requests with an outcome other than served.
pub(super) fn not_served(report: &Report) -> Markup {
    html! {
        h2 { "Requests refused, not run, unknown or unfinished" }
        (time_series(&report.windows, &NOT_SERVED))
    }
}

fn time_series(windows: &[Window], series: &[Series]) -> Markup {
    let values = || {
        series
            .iter()
            .flat_map(|s| windows.iter().filter_map(|w| (s.value)(&w.total)))
    };
    let highest = values().fold(1.0_f64, f64::max);
    let x = |i: usize| rounded(PAD_LEFT + (i as f64 + 0.5) * window_width(windows));
    let y = |v: f64| rounded(HEIGHT - PAD_BOTTOM - v / highest * (HEIGHT - PAD_TOP - PAD_BOTTOM));
    html! {
        svg viewBox={ "0 0 " (WIDTH) " " (HEIGHT) } width=(WIDTH) height=(HEIGHT) role="img"
            aria-label="Values over time" {
            (incomplete_windows(windows))
            @for value in [0.0, highest / 2.0, highest] {
                line class="axis" x1=(PAD_LEFT) x2=(WIDTH - PAD_RIGHT)
                    y1=(y(value)) y2=(y(value)) {}
                text x=(PAD_LEFT - 8.0) y=(y(value) + 4.0) text-anchor="end" {
                    (format!("{value:.1}"))
                }
            }
            @for (i, s) in series.iter().enumerate() {
                text x=(PAD_LEFT + 120.0 * i as f64 + 16.0) y="14" { (s.name) }
                rect class={ "f" (i) } x=(PAD_LEFT + 120.0 * i as f64) y="4"
                    width="10" height="10" {}
                @for segment in segments(windows, s) {
                    polyline class={ "s" (i) }
                        points=(segment.iter().map(|p| format!("{},{}", x(p.window), y(p.value)))
                            .collect::<Vec<_>>().join(" ")) {}
                    @for p in &segment {
                        circle class={ "f" (i) } cx=(x(p.window)) cy=(y(p.value)) r="2.5" {}
                    }
                }
            }
            @if let (Some(first), Some(last)) = (windows.first(), windows.last()) {
                text x=(PAD_LEFT) y=(HEIGHT - 6.0) { (utc_time_of_day(first.period.from_ms)) }
                text x=(WIDTH - PAD_RIGHT) y=(HEIGHT - 6.0) text-anchor="end" {
                    (utc_time_of_day(last.period.to_ms)) " UTC"
                }
            }
        }
        @if windows.iter().any(is_incomplete) { p { "Shaded: counts are incomplete." } }
    }
}

/// A known value of a series and the index of its window.
struct Point {
    window: usize,
    value: f64,
}

/// Splits a series into segments of consecutive known values; a window without a value ends a
/// segment.
fn segments(windows: &[Window], series: &Series) -> Vec<Vec<Point>> {
    let mut segments = vec![Vec::new()];
    for (window, w) in windows.iter().enumerate() {
        match ((series.value)(&w.total), segments.last_mut()) {
            (Some(value), Some(segment)) => segment.push(Point { window, value }),
            _ => segments.push(Vec::new()),
        }
    }
    segments.retain(|segment| !segment.is_empty());
    segments
}

fn incomplete_windows(windows: &[Window]) -> Markup {
    let width = window_width(windows);
    html! {
        @for (i, _) in windows.iter().enumerate().filter(|(_, w)| is_incomplete(w)) {
            rect class="gap" x=(rounded(PAD_LEFT + i as f64 * width)) y=(PAD_TOP)
                width=(rounded(width)) height=(HEIGHT - PAD_TOP - PAD_BOTTOM) {}
        }
    }
}

fn is_incomplete(window: &Window) -> bool {
    window.total.completeness == Completeness::Incomplete
}

fn window_width(windows: &[Window]) -> f64 {
    (WIDTH - PAD_LEFT - PAD_RIGHT) / windows.len().max(1) as f64
}

fn weighted_per_mille(line: &Line) -> u64 {
    (line.weighted_share_percent * 10.0).round() as u64
}

/// Rounds a coordinate to one decimal.
fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Truncates a name to the width of the label column.
fn truncate_label(name: &str) -> String {
    const CHARS: usize = 20;
    if name.chars().count() <= CHARS {
        return name.to_owned();
    }
    name.chars().take(CHARS - 1).chain(['…']).collect()
}
