//! Estimates of the sizes and run times of jobs, learned from tasks that exited.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;

use crate::{Class, Lane, Resources};

/// Number of latest exited tasks of a lane that an estimate is based on.
const SAMPLES_MAX: usize = 64;

/// Number of exited tasks of a lane that are needed before an estimate replaces the
/// declared size.
const SAMPLES_MIN: usize = 8;

/// Lower bound of an estimated size, as a fraction of the declared size.
const DECLARED_RATIO_MIN: f64 = 0.1;

/// Upper bound of an estimated size, as a multiple of the declared size.
const DECLARED_RATIO_MAX: f64 = 4.0;

/// Fractions of the samples that an estimated size covers.
///
/// Cores can be shared: tasks that use more than planned are slowed down,
/// background tasks first. Memory can't be shared: a worker that runs out of memory
/// kills a task.
#[derive(Debug, Clone, Copy)]
struct Coverage {
    cores: f64,
    memory: f64,
}

const URGENT_COVERAGE: Coverage = Coverage { cores: 0.75, memory: 0.95 };
const BACKGROUND_COVERAGE: Coverage = Coverage { cores: 0.6, memory: 0.9 };

/// The declared and the used amount of one resource of a task that exited.
#[derive(Debug, Clone, Copy)]
struct Amount {
    declared: f64,
    used: f64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    cores: Amount,
    memory: Amount,
    run_time: Duration,
}

/// Rule that derives the planned amount of a resource from the declared amount.
#[derive(Debug, Clone, Copy)]
enum SizeRule {
    /// The planned amount is this multiple of the declared amount.
    Ratio(f64),
    /// The planned amount is the same for all jobs of the lane.
    Size(f64),
}

impl SizeRule {
    /// Finds the rule whose planned amounts cover the fraction `quantile` of the
    /// samples.
    ///
    /// A multiple fits where declared amounts are informative, one size for all
    /// jobs where they are noise. The rule with the smaller planned total is
    /// chosen.
    fn fit(amounts: &[Amount], quantile: f64) -> SizeRule {
        let ratio = |amount: &Amount| amount.used / amount.declared.max(1.0);
        let ratio = value_at_quantile(amounts.iter().map(ratio).collect(), quantile);
        let size = value_at_quantile(amounts.iter().map(|amount| amount.used).collect(), quantile);
        let sum: f64 = amounts.iter().map(|amount| amount.declared).sum();
        if ratio * sum <= size * amounts.len() as f64 {
            SizeRule::Ratio(ratio)
        } else {
            SizeRule::Size(size)
        }
    }

    /// Returns the planned amount for a declared amount, within the bounds.
    fn plan(self, declared: f64) -> f64 {
        let planned = match self {
            SizeRule::Ratio(ratio) => ratio * declared,
            SizeRule::Size(size) => size,
        };
        planned.clamp(DECLARED_RATIO_MIN * declared, DECLARED_RATIO_MAX * declared)
    }
}

/// Estimate derived from the samples of a lane.
#[derive(Debug, Clone, Copy)]
struct LaneEstimate {
    cores: SizeRule,
    memory: SizeRule,
    run_time: Duration,
}

#[derive(Debug, Clone, Default)]
struct History {
    samples: VecDeque<Sample>,
    estimate: Option<LaneEstimate>,
}

/// Estimates for each lane, learned from what exited tasks used compared with what
/// their jobs declared.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    lanes: HashMap<Lane, History>,
}

impl Estimates {
    /// Records the declared size, peak usage and run time of a task that exited, with
    /// any exit code.
    pub fn record(
        &mut self,
        lane: &Lane,
        declared: &Resources,
        peak: &Resources,
        duration: Duration,
    ) {
        let sample = Sample {
            cores: Amount { declared: f64::from(declared.cores.0), used: f64::from(peak.cores.0) },
            memory: Amount { declared: declared.memory.0 as f64, used: peak.memory.0 as f64 },
            run_time: duration,
        };
        let history = self.lanes.entry(lane.clone()).or_default();
        history.samples.push_back(sample);
        if history.samples.len() > SAMPLES_MAX {
            history.samples.pop_front();
        }
        history.estimate = estimate_lane(lane.class, &history.samples);
    }

    /// Returns the size to plan a job with: the estimate, or the declared size
    /// while the lane has too few samples. Accelerators stay as declared, because
    /// they are allocated whole and no other job can use them.
    pub fn size(&self, lane: &Lane, declared: &Resources) -> Resources {
        let Some(estimate) = self.estimate(lane) else { return *declared };
        let cores = estimate.cores.plan(f64::from(declared.cores.0));
        let memory = estimate.memory.plan(declared.memory.0 as f64);
        Resources::new((cores as u32).max(1), memory as u64, declared.accelerators.0)
    }

    /// Returns the median run time of the lane's jobs, or `None` while the lane has
    /// too few samples.
    pub fn run_time(&self, lane: &Lane) -> Option<Duration> {
        self.estimate(lane).map(|estimate| estimate.run_time)
    }

    fn estimate(&self, lane: &Lane) -> Option<&LaneEstimate> {
        self.lanes.get(lane)?.estimate.as_ref()
    }
}

/// Returns the estimate for a lane, or `None` while there are too few samples.
fn estimate_lane(class: Class, samples: &VecDeque<Sample>) -> Option<LaneEstimate> {
    if samples.len() < SAMPLES_MIN {
        return None;
    }
    let coverage = match class {
        Class::Urgent => URGENT_COVERAGE,
        Class::Background => BACKGROUND_COVERAGE,
    };
    let cores: Vec<Amount> = samples.iter().map(|sample| sample.cores).collect();
    let memory: Vec<Amount> = samples.iter().map(|sample| sample.memory).collect();
    let seconds = samples.iter().map(|sample| sample.run_time.as_secs_f64()).collect();
    Some(LaneEstimate {
        cores: SizeRule::fit(&cores, coverage.cores),
        memory: SizeRule::fit(&memory, coverage.memory),
        run_time: Duration::from_secs_f64(value_at_quantile(seconds, 0.5)),
    })
}

/// Returns the smallest of the values that the fraction `quantile` of them does not
/// exceed, or 1.0 if there are no values.
fn value_at_quantile(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let at = (values.len() as f64 * quantile).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(1.0)
}
