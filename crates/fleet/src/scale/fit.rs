//! Slopes: a straight line through measured points.

/// A line `y = base + slope * x` with how well it explains the points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// `y` at zero.
    pub base: f64,
    /// Rise of `y` for each `x`.
    pub slope: f64,
    /// Share of the variance explained, 0 to 1.
    pub fit: f64,
}

impl Line {
    /// The line by least squares; `None` with fewer than two different `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let base = mean_y - slope * mean_x;
        let total = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
        let left = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum::<f64>();
        let fit = if total == 0.0 { 1.0 } else { 1.0 - left / total };
        Some(Self { base, slope, fit })
    }

    /// The value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
