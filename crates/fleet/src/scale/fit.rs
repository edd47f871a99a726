//! Linear regression.

/// A fitted line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// `y` at `x = 0`.
    pub intercept: f64,
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// Coefficient of determination, R².
    pub r_squared: f64,
}

impl Line {
    /// Fits a line by least squares; `None` with fewer than two distinct `x`.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let squares_x = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        if points.len() < 2 || squares_x == 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / squares_x;
        let intercept = mean_y - slope * mean_x;
        let total = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
        let residual = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
        let r_squared = if total == 0.0 { 1.0 } else { 1.0 - residual / total };
        Some(Self { intercept, slope, r_squared })
    }

    /// The predicted value at `x`.
    pub fn predict(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
