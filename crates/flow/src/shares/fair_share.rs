//! Division of a pool's capacity among teams.
//!
//! Load that this module handles: teams together request more than a pool has, and
//! one of them several times its usual amount. Each team gets its weighted part of the
//! capacity first. What it does not need goes to the others, so that no capacity is
//! left unused while work waits.

/// What a team requests in a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamDemand {
    /// Its share; zero and negative values count as the smallest one.
    pub weight: f64,
    /// What its tasks use and its waiting tasks would use, as a part of the pool.
    pub wanted: f64,
}

/// Smallest weight, so that a team without a share gets something.
const MIN_WEIGHT: f64 = 1e-3;

/// Divides `capacity` among teams by weighted max-min fairness. Returns the part of each
/// team, in the order of `demands`: at most what it wants, and no team gets less per
/// weight than another unless it wants no more.
pub fn allocate(capacity: f64, demands: &[TeamDemand]) -> Vec<f64> {
    let weight = |at: usize| demands[at].weight.max(MIN_WEIGHT);
    let mut order: Vec<usize> = (0..demands.len()).collect();
    // Teams that are satisfied at the lowest level come first.
    order.sort_by(|&a, &b| {
        let level = |at: usize| demands[at].wanted / weight(at);
        level(a).total_cmp(&level(b))
    });
    let mut parts = vec![0.0; demands.len()];
    let mut left = capacity.max(0.0);
    let mut weights: f64 = order.iter().map(|&at| weight(at)).sum();
    for at in order {
        let part = (left * weight(at) / weights).min(demands[at].wanted.max(0.0));
        parts[at] = part;
        left -= part;
        weights -= weight(at);
    }
    parts
}
