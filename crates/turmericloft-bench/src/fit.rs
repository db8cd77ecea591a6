//! Least-squares fit of a straight line through measured points.

/// Least-squares line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Change of y per unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Coefficient of determination, from 0 to 1; 1 if all y are equal.
    pub r_squared: f64,
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size at which `y` was measured.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

impl Fit {
    /// Fits a line through at least two points with different x; otherwise the slope is NaN.
    pub fn through(points: &[Point]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let syy: f64 = points.iter().map(|p| (p.y - mean_y).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = sxy / sxx;
        let r_squared = if syy > 0.0 {
            sxy * sxy / (sxx * syy)
        } else {
            1.0
        };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared,
        }
    }

    /// The line's value at `x`.
    pub fn predict(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
