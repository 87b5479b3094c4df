//! The mean work of the jobs of each queue, by which a job's value is estimated.

use std::collections::HashMap;

use vg_base::prelude::*;

/// Sum of the estimated work of the jobs in memory, and their number, by queue.
#[derive(Debug, Default)]
pub(crate) struct QueueWork(HashMap<QueueId, (f64, u32)>);

impl QueueWork {
    pub(crate) fn add(&mut self, queue: &QueueId, work: f64) {
        let (sum, count) = self.0.entry(queue.clone()).or_default();
        *sum += work;
        *count += 1;
    }

    pub(crate) fn remove(&mut self, queue: &QueueId, work: f64) {
        let Some((sum, count)) = self.0.get_mut(queue) else { return };
        *sum -= work;
        *count -= 1;
        if *count == 0 {
            self.0.remove(queue);
        }
    }

    /// Returns the mean work of a queue's jobs; `None` if it has none.
    pub(crate) fn mean(&self, queue: &QueueId) -> Option<f64> {
        self.0.get(queue).map(|(sum, count)| sum / f64::from(*count))
    }
}
