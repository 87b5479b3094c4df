//! Linear regression.

/// Returns the slope of the least-squares line through points of size and value. Returns NaN
/// if all sizes are equal.
pub(super) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    covariance / variance
}
