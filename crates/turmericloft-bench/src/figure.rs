//! Output format of measured figures.

use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure<'a> {
    /// Name of the experiment.
    pub experiment: &'a str,
    /// Case within the experiment.
    pub case: &'a str,
    /// Variant within the case, such as a policy or a size.
    pub variant: &'a str,
    /// Name of the measured quantity.
    pub metric: &'a str,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of `value`, such as `ms`.
    pub unit: &'a str,
}

/// Prints each figure to standard output as soon as it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    json: bool,
}

impl Printer {
    /// Prints JSON lines if `json` is set, and aligned columns otherwise.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints one figure on a line of its own.
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
