//! Figures as they are printed.

use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure<'a> {
    /// Name of the experiment.
    pub experiment: &'a str,
    /// Case within the experiment.
    pub case: &'a str,
    /// What was varied.
    pub variant: &'a str,
    /// What was measured.
    pub metric: &'a str,
    /// The value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'a str,
}

/// Prints figures as they are known.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    json: bool,
}

impl Printer {
    /// A printer of JSON lines, or of columns for people.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints one figure.
    pub fn print(&self, figure: &Figure<'_>) {
        if self.json {
            println!("{}", serde_json::to_string(figure).unwrap_or_default());
            return;
        }
        let Figure {
            experiment,
            case,
            variant,
            metric,
            value,
            unit,
        } = figure;
        println!("{experiment:<10} {case:<20} {variant:<16} {metric:<24} {value:>14.6} {unit}");
    }
}
