//! An upper bound of the value that any order can earn.
//!
//! It knows all arrivals and true durations, and relaxes the problem: a pool is one
//! machine whose capacity is divided at will, a step only has to be done late enough for the
//! longest tasks before it and early enough for those after it, a part of a job's work earns
//! that part of its value, and what is earned in time and what is earned late are bounded
//! separately. The amounts of work that fit are a polymatroid, so that taking steps by value
//! for their work, each as far as it fits, is optimal.

use std::ops::Range;

use super::arrivals::{LATE_FACTOR, WORKER_CORES, Workload};
use super::table::{Served, values};

/// Time into which arrivals and deadlines are rounded, outwards.
const SLOT_MS: u64 = 250;

/// Returns which part of each job can end in time, and which part can have value.
pub fn serve(workload: &Workload) -> Served {
    Served { in_time: fractions(workload, 1), valued: fractions(workload, LATE_FACTOR) }
}

/// Returns the part of each job's work that is done by `factor` times its objective, where
/// the sum of the values of these parts is largest.
fn fractions(workload: &Workload, factor: u64) -> Vec<f64> {
    let (jobs, values) = (&workload.arrivals, values(workload));
    let slots = workload.end_ms().div_ceil(SLOT_MS) as usize;
    let slot_work = workload.pool_workers as f64 * f64::from(WORKER_CORES) * SLOT_MS as f64 / 1e3;
    let mut done = vec![0.0; jobs.len()];
    for queue in workload.queues().keys() {
        let mut order: Vec<_> = (0..jobs.len()).filter(|&at| jobs[at].queue == *queue).collect();
        order.sort_by(|&a, &b| {
            let density = |at: usize| values[at] / jobs[at].work();
            density(b).total_cmp(&density(a))
        });
        let mut room = Room::new(slots, slot_work);
        for at in order {
            let mut begin = jobs[at].at_ms;
            let end = jobs[at].deadline_ms(factor).checked_sub(jobs[at].chain_ms());
            // Not even a job that waits for nothing ends in time if its chain is longer.
            let Some(mut end) = end.filter(|end| *end >= begin) else { continue };
            for step in &jobs[at].steps {
                end += step.longest_ms();
                let window = begin / SLOT_MS..end.div_ceil(SLOT_MS);
                done[at] += room.take(window, step.work()) / jobs[at].work();
                begin += step.longest_ms();
            }
        }
    }
    done
}

/// What is left of the capacity of each interval of slots, for jobs within it.
struct Room {
    /// By first slot, then by last slot.
    left: Vec<Vec<f64>>,
}

impl Room {
    fn new(slots: usize, slot_work: f64) -> Room {
        let interval = |from: usize| move |to: usize| to.saturating_sub(from) as f64 * slot_work;
        let row = |from| (0..=slots).map(interval(from)).collect();
        Room { left: (0..slots).map(row).collect() }
    }

    /// Takes up to `work` within slots; returns how much fits. By Hall's theorem it fits if
    /// it does in each interval around these slots.
    fn take(&mut self, slots: Range<u64>, work: f64) -> f64 {
        let (from, to) = (slots.start as usize, slots.end as usize);
        let around = self.left[..=from].iter().flat_map(|row| &row[to..]);
        let fits = around.copied().fold(work, f64::min).max(0.0);
        let around = self.left[..=from].iter_mut().flat_map(|row| &mut row[to..]);
        around.for_each(|left| *left -= fits);
        fits
    }
}
