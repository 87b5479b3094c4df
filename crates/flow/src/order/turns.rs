//! Turns of the size classes of each team in a contended pool.
//!
//! Load that this module handles: a team's jobs do not all fit into what it gets of a
//! pool. Ranked by value per work alone, its largest jobs would get nothing. The class
//! of which the smallest part was served goes next, so that each gets capacity in
//! proportion to the work that it brings.

use vg_base::prelude::*;

use crate::shares::contention::ContendedPool;
use crate::shares::past_usage::decay;
use crate::{Scheduler, SizeClass, WorkBySize};

/// Time constant with which served work decays. Pools are full for some seconds at
/// each peak; turns of an earlier peak must not count.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Machine-seconds below which served work is dropped.
const NEGLIGIBLE: f64 = 1e-3;

/// Decayed work that was started for each team of a pool.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// By team index, in machine-seconds.
    served: Vec<WorkBySize>,
    updated: Option<Instant>,
}

impl Turns {
    fn decay(&mut self, now: Instant) {
        let kept = decay(&mut self.updated, DECAY_TIME, now);
        self.served.iter_mut().for_each(|work| work.scale(kept));
    }

    fn is_negligible(&self) -> bool {
        self.served.iter().all(|work| work.total() < NEGLIGIBLE)
    }
}

impl Scheduler {
    /// Lets the work decay that was started in the last seconds.
    pub(crate) fn begin_turns(&mut self, now: Instant) {
        self.turns.values_mut().for_each(|turns| turns.decay(now));
        self.turns.retain(|_, turns| !turns.is_negligible());
    }

    /// Gives a pool the work of its teams that was started in earlier rounds.
    pub(crate) fn restore_turns(&self, pool: &mut ContendedPool) {
        if let Some(turns) = self.turns.get(&pool.id) {
            pool.set_served(&turns.served);
        }
    }

    /// Keeps the work that was started in contended pools.
    pub(crate) fn record_turns(&mut self, now: Instant) {
        for pool in &self.contended {
            let served = pool.served().collect();
            self.turns.insert(pool.id.clone(), Turns { served, updated: Some(now) });
        }
    }
}

/// Returns the part of a class's work that was served; the class with the smallest
/// part goes next.
pub(crate) fn served_part(served: &WorkBySize, waiting: &WorkBySize, class: SizeClass) -> f64 {
    let all = served.of(class) + waiting.of(class);
    if all > 0.0 { served.of(class) / all } else { 0.0 }
}
