//! Learned sizes and run times.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;

use crate::{Class, Lane, Resources};

/// Ended jobs that an estimate rests on.
const SAMPLES_MAX: usize = 64;

/// Ended jobs before an estimate replaces the declared size.
const SAMPLES_MIN: usize = 8;

/// Least part of its declared size that a job is given.
const RATIO_MIN: f64 = 0.1;

/// Greatest multiple of its declared size that a job is given.
const RATIO_MAX: f64 = 4.0;

/// Part of the samples that a size covers.
///
/// Cores can be shared: tasks that use more are slowed down, background ones
/// first. Memory can't: a worker that runs out kills a task.
#[derive(Debug, Clone, Copy)]
struct Coverage {
    cores: f64,
    memory: f64,
}

const URGENT_COVERAGE: Coverage = Coverage { cores: 0.75, memory: 0.95 };
const BACKGROUND_COVERAGE: Coverage = Coverage { cores: 0.6, memory: 0.9 };

/// One amount of a job that ended.
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

/// How an amount is planned.
#[derive(Debug, Clone, Copy)]
enum Rule {
    /// A multiple of what is declared.
    Ratio(f64),
    /// The same for all.
    Size(f64),
}

impl Rule {
    /// Finds the rule that covers `quantile` of the samples.
    ///
    /// A multiple fits where declarations say something, one size for all
    /// where they are noise. The one that plans less on the whole is taken.
    fn find(amounts: &[Amount], quantile: f64) -> Rule {
        let ratio = |amount: &Amount| amount.used / amount.declared.max(1.0);
        let ratio = rank(amounts.iter().map(ratio).collect(), quantile);
        let size = rank(amounts.iter().map(|amount| amount.used).collect(), quantile);
        let sum: f64 = amounts.iter().map(|amount| amount.declared).sum();
        if ratio * sum <= size * amounts.len() as f64 {
            Rule::Ratio(ratio)
        } else {
            Rule::Size(size)
        }
    }

    fn plan(self, declared: f64) -> f64 {
        let planned = match self {
            Rule::Ratio(ratio) => ratio * declared,
            Rule::Size(size) => size,
        };
        planned.clamp(RATIO_MIN * declared, RATIO_MAX * declared)
    }
}

/// What the samples of a lane come to.
#[derive(Debug, Clone, Copy)]
struct Learned {
    cores: Rule,
    memory: Rule,
    run_time: Duration,
}

#[derive(Debug, Clone, Default)]
struct History {
    samples: VecDeque<Sample>,
    learned: Option<Learned>,
}

/// What ended jobs of each lane used, against what they declared.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    lanes: HashMap<Lane, History>,
}

impl Estimates {
    /// Takes in a job that ended.
    pub fn record(&mut self, lane: &Lane, declared: &Resources, peak: &Resources, ran: Duration) {
        let sample = Sample {
            cores: Amount { declared: f64::from(declared.cores.0), used: f64::from(peak.cores.0) },
            memory: Amount { declared: declared.memory.0 as f64, used: peak.memory.0 as f64 },
            run_time: ran,
        };
        let history = self.lanes.entry(lane.clone()).or_default();
        history.samples.push_back(sample);
        if history.samples.len() > SAMPLES_MAX {
            history.samples.pop_front();
        }
        history.learned = learn(lane.class, &history.samples);
    }

    /// Returns the size to plan with. Accelerators are as declared: they are
    /// whole and nobody else can use them.
    pub fn size(&self, lane: &Lane, declared: &Resources) -> Resources {
        let Some(learned) = self.learned(lane) else { return *declared };
        let cores = learned.cores.plan(f64::from(declared.cores.0));
        let memory = learned.memory.plan(declared.memory.0 as f64);
        Resources::new((cores as u32).max(1), memory as u64, declared.accelerators.0)
    }

    /// Returns the run time that half of the lane's jobs stay below.
    pub fn run_time(&self, lane: &Lane) -> Option<Duration> {
        self.learned(lane).map(|learned| learned.run_time)
    }

    fn learned(&self, lane: &Lane) -> Option<&Learned> {
        self.lanes.get(lane)?.learned.as_ref()
    }
}

fn learn(class: Class, samples: &VecDeque<Sample>) -> Option<Learned> {
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
    Some(Learned {
        cores: Rule::find(&cores, coverage.cores),
        memory: Rule::find(&memory, coverage.memory),
        run_time: Duration::from_secs_f64(rank(seconds, 0.5)),
    })
}

/// Returns the value that `quantile` of the values stay at or below.
fn rank(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let at = (values.len() as f64 * quantile).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(1.0)
}
