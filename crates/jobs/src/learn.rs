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

/// Part of the samples that an urgent job's size covers.
const URGENT_QUANTILE: f64 = 0.95;

/// Part of the samples that a background job's size covers; it can be
/// throttled or moved when it turns out larger.
const BACKGROUND_QUANTILE: f64 = 0.75;

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

/// What ended jobs of each lane used, against what they declared.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    samples: HashMap<Lane, VecDeque<Sample>>,
}

impl Estimates {
    /// Takes in a job that ended.
    pub fn learn(&mut self, lane: &Lane, declared: &Resources, peak: &Resources, ran: Duration) {
        let sample = Sample {
            cores: Amount { declared: f64::from(declared.cores.0), used: f64::from(peak.cores.0) },
            memory: Amount { declared: declared.memory.0 as f64, used: peak.memory.0 as f64 },
            run_time: ran,
        };
        let samples = self.samples.entry(lane.clone()).or_default();
        samples.push_back(sample);
        if samples.len() > SAMPLES_MAX {
            samples.pop_front();
        }
    }

    /// Returns the size to plan with. Accelerators are as declared: they are
    /// whole and nobody else can use them.
    pub fn size(&self, lane: &Lane, declared: &Resources) -> Resources {
        let quantile = match lane.class {
            Class::Urgent => URGENT_QUANTILE,
            Class::Background => BACKGROUND_QUANTILE,
        };
        let Some(samples) = self.enough(lane) else { return *declared };
        let estimate = |part: fn(&Sample) -> Amount, declared: f64| {
            estimate(samples.iter().map(part).collect(), declared, quantile)
        };
        let cores = estimate(|sample| sample.cores, f64::from(declared.cores.0));
        let memory = estimate(|sample| sample.memory, declared.memory.0 as f64);
        Resources::new((cores as u32).max(1), memory as u64, declared.accelerators.0)
    }

    /// Returns the run time that half of the lane's jobs stay below.
    pub fn run_time(&self, lane: &Lane) -> Option<Duration> {
        let samples = self.enough(lane)?;
        let seconds = samples.iter().map(|sample| sample.run_time.as_secs_f64()).collect();
        Some(Duration::from_secs_f64(rank(seconds, 0.5)))
    }

    fn enough(&self, lane: &Lane) -> Option<&VecDeque<Sample>> {
        self.samples.get(lane).filter(|samples| samples.len() >= SAMPLES_MIN)
    }
}

/// Returns what covers `quantile` of the samples, for a job that declares
/// `declared`.
///
/// Two rules cover as many: a multiple of what is declared, which fits where
/// declarations say something, and one size for all, which fits where they are
/// noise. The one that plans less on the whole is taken.
fn estimate(samples: Vec<Amount>, declared: f64, quantile: f64) -> f64 {
    let ratio = |amount: &Amount| amount.used / amount.declared.max(1.0);
    let ratio = rank(samples.iter().map(ratio).collect(), quantile);
    let size = rank(samples.iter().map(|amount| amount.used).collect(), quantile);
    let mean = samples.iter().map(|amount| amount.declared).sum::<f64>() / samples.len() as f64;
    let planned = if ratio * mean <= size { ratio * declared } else { size };
    planned.clamp(RATIO_MIN * declared, RATIO_MAX * declared)
}

/// Returns the value that `quantile` of the values stay at or below.
fn rank(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let at = (values.len() as f64 * quantile).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(1.0)
}
