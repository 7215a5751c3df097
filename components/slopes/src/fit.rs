//! Fits a line to points by least squares.

use serde::Serialize;

use crate::figure::Point;

/// A fitted line with the distance of the points from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// The root mean square of the points' distances, in the unit of the values.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points. If all have the same size, the slope is zero.
    pub fn of(points: &[Point]) -> Fit {
        let count = points.len().max(1) as f64;
        let size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let value = points.iter().map(|p| p.value).sum::<f64>() / count;
        let product = |p: &Point| (p.size - size) * (p.value - value);
        let square = |p: &Point| (p.size - size).powi(2);
        let spread: f64 = points.iter().map(square).sum();
        let slope = match spread > 0.0 {
            true => points.iter().map(product).sum::<f64>() / spread,
            false => 0.0,
        };
        let intercept = value - slope * size;
        let error = |p: &Point| (p.value - intercept - slope * p.size).powi(2);
        let residual = (points.iter().map(error).sum::<f64>() / count).sqrt();
        Fit {
            slope,
            intercept,
            residual,
        }
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
