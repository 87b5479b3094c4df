//! Straight lines through measured points.

/// Returns the slope of the line of least squares through pairs of size and
/// value; not a number if all sizes are the same.
pub(super) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    joint / spread
}
