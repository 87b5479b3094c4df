//! Past usage of teams beyond their allocation.
//!
//! Load that this module handles: a team fills a pool just before others need it, and
//! running tasks are not stopped for them. What it used beyond its allocation while
//! the pool was contended is charged to it for some seconds. Usage that hurt nobody is
//! not charged, and a team that used less than its allocation gets no credit.

use vg_base::prelude::*;

/// Time constant with which past overuse decays. Tasks take about a second: a longer
/// one would punish a team after the peak that it caused.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Part of a pool below which overuse is dropped.
const NEGLIGIBLE: f64 = 1e-4;

/// Decayed overuse of the teams of one pool, as parts of the pool.
#[derive(Debug, Default)]
pub(crate) struct Overuse {
    parts: Vec<f64>,
    updated: Option<Instant>,
}

impl Overuse {
    /// Returns the overuse of the team at a position in the list of teams.
    pub(crate) fn at(&self, position: usize) -> f64 {
        self.parts.get(position).copied().unwrap_or_default()
    }

    /// Averages in what each team uses now beyond its allocation: nothing if the pool
    /// is not contended.
    pub(crate) fn update(&mut self, beyond: &[f64], now: Instant) {
        let passed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let kept = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let count = self.parts.len().max(beyond.len());
        self.parts.resize(count, 0.0);
        for (at, part) in self.parts.iter_mut().enumerate() {
            let current = beyond.get(at).copied().unwrap_or_default();
            *part = *part * kept + current * (1.0 - kept);
        }
    }

    /// Whether there is nothing to charge.
    pub(crate) fn is_negligible(&self) -> bool {
        self.parts.iter().all(|part| *part < NEGLIGIBLE)
    }
}
