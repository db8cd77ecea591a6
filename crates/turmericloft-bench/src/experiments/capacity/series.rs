//! Measured values of one metric by size, and the line fitted through them.

use crate::{
    figure::{Figure, Printer},
    fit::{Fit, Point},
};

/// Fractions of the largest size at which each cost is measured.
pub(super) const SIZE_FRACTIONS: [f64; 4] = [0.25, 0.5, 0.75, 1.0];

/// Measured points of one metric.
#[derive(Clone, Debug)]
pub(super) struct Series {
    case: &'static str,
    metric: &'static str,
    unit: &'static str,
    points: Vec<Point>,
}

impl Series {
    pub(super) fn new(case: &'static str, metric: &'static str, unit: &'static str) -> Self {
        Self {
            case,
            metric,
            unit,
            points: Vec::new(),
        }
    }

    pub(super) fn add_point(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    /// Prints each point, and the fitted line's slope, R^2 and value at the largest size.
    pub(super) fn print(&self, figures: &Printer) {
        let print = |variant: &str, metric: &str, value: f64| {
            figures.print(&Figure {
                experiment: "capacity",
                case: self.case,
                variant,
                metric,
                value,
                unit: self.unit,
            });
        };
        for point in &self.points {
            print(&format!("{:.0}", point.x), self.metric, point.y);
        }
        let fit = Fit::through(&self.points);
        let largest = self.points.iter().map(|p| p.x).fold(0.0, f64::max);
        print("fit", &format!("{}_slope", self.metric), fit.slope);
        print("fit", &format!("{}_r_squared", self.metric), fit.r_squared);
        print(
            "fit",
            &format!("{}_at_largest", self.metric),
            fit.predict(largest),
        );
    }
}
