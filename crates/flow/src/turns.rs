//! Turns of the size classes of each team in a contended pool.
//!
//! Load that this module handles: a team's jobs do not all fit into what it gets of a
//! pool. Ranked by value per work alone, its largest jobs would get nothing. The class
//! of which the smallest part was served goes next, so that each gets capacity in
//! proportion to the work that it brings.

use vg_base::prelude::*;

use crate::{SizeClass, WorkBySize};

/// Time constant with which served work decays. Pools are full for some seconds at
/// each peak; turns of an earlier peak must not count.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Machine-seconds below which served work is dropped.
const NEGLIGIBLE: f64 = 1e-3;

/// Decayed work that was started for each team of a pool.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    served: Vec<WorkBySize>,
    updated: Option<Instant>,
}

impl Turns {
    /// Begins a round.
    pub(crate) fn begin_round(&mut self, teams: usize, now: Instant) {
        let passed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let kept = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.served.resize(teams.max(self.served.len()), WorkBySize::default());
        self.served.iter_mut().for_each(|work| work.scale(kept));
    }

    /// Returns the work that was started for the team at a position.
    pub(crate) fn served(&self, position: usize) -> WorkBySize {
        self.served.get(position).copied().unwrap_or_default()
    }

    /// Sets the work that was started for the team at a position.
    pub(crate) fn set_served(&mut self, position: usize, work: WorkBySize) {
        if let Some(served) = self.served.get_mut(position) {
            *served = work;
        }
    }

    /// Whether there is nothing to remember.
    pub(crate) fn is_negligible(&self) -> bool {
        self.served.iter().all(|work| work.total() < NEGLIGIBLE)
    }
}

/// Returns the part of a class's work that was served; the class with the smallest
/// part goes next.
pub(crate) fn served_part(served: &WorkBySize, waiting: &WorkBySize, class: SizeClass) -> f64 {
    let all = served.of(class) + waiting.of(class);
    if all > 0.0 { served.of(class) / all } else { 0.0 }
}
