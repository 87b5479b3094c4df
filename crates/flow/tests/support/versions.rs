//! Versions of the configuration that send queues to other pools, remove them and bring them
//! back, while their jobs wait and run.

use std::sync::Arc;

use rand::Rng;

use super::spec::{config, pool, queue};
use super::world::World;

impl World {
    /// Puts a version in force that differs from the last one in one queue. At least one queue
    /// is left.
    pub(super) fn draw_version(&mut self) {
        let mut next = (*self.config).clone();
        next.version += 1;
        let (one, other) = match self.rng.random_bool(0.5) {
            true => (queue("q-a"), queue("q-b")),
            false => (queue("q-b"), queue("q-a")),
        };
        let is_removable = next.present_queue(&other).is_some();
        match next.queue_mut(&one) {
            Some(_) if is_removable && self.rng.random_range(0..3) == 0 => next.remove_queue(&one),
            Some(queue) => queue.pool = pool(if self.rng.random_bool(0.5) { "a" } else { "b" }),
            None => {
                let first = config().present_queue(&one).cloned().unwrap();
                next.add_queue(one, "host".into(), "/again/".into(), first);
            }
        }
        self.config = Arc::new(next);
        self.scheduler.set_config(Arc::clone(&self.config));
    }
}
