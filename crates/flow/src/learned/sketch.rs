//! The distribution of observed over estimated durations of tasks of one kind.

use hdrhistogram::Histogram;
use vg_base::prelude::*;

/// Number of samples from which a sketch is used.
pub(crate) const MIN_SAMPLES: u64 = 20;
/// Number of samples at which all counts of a sketch are halved.
const MAX_SAMPLES: u64 = 256;
/// Ratios are counted in thousandths, up to 1000.
const RATIO_SCALE: f64 = 1000.0;
const MAX_SCALED_RATIO: u64 = 1_000_000;
/// Significant digits of a ratio: the error is below one percent from 0.13 on.
const RATIO_DIGITS: u8 = 2;
/// Bounds of the factor by which an estimate is corrected.
const MIN_FACTOR: f64 = 0.02;
const MAX_FACTOR: f64 = 50.0;
/// The end of the tail is at least this multiple of the median: a few samples may
/// contain no long task. One percent of a task that takes seven times the median is
/// then still reported within the time of a stall.
const MIN_TAIL_FACTOR: f64 = 2.0;
/// What was learned is replaced when it has changed by more than this fraction, so
/// that estimates of all waiting jobs are not corrected again in each round.
const CHANGE_FRACTION: f64 = 0.05;

/// What was learned about the tasks of one kind: observed over estimated duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Learned {
    /// The median, by which estimates are corrected.
    pub(crate) median: f64,
    /// The 99th percentile.
    pub(crate) tail: f64,
}

impl Learned {
    /// Whether the difference is too small to correct all estimates again.
    fn is_close(&self, other: &Learned) -> bool {
        let differs = |a: f64, b: f64| (a - b).abs() > CHANGE_FRACTION * a;
        !differs(self.median, other.median) && !differs(self.tail, other.tail)
    }
}

/// Distribution of the observed over the estimated duration of tasks of one kind.
#[derive(Debug)]
pub(crate) struct Sketch {
    pub(crate) ratios: Histogram<u32>,
    /// `None` before there are enough samples.
    pub(crate) learned: Option<Learned>,
    pub(crate) updated: Instant,
}

impl Sketch {
    pub(crate) fn new(now: Instant) -> Sketch {
        Sketch { ratios: empty_histogram(), learned: None, updated: now }
    }

    /// Records a ratio; returns whether what was learned has changed.
    pub(crate) fn record(&mut self, ratio: f64, now: Instant) -> bool {
        let scaled = (ratio * RATIO_SCALE).round() as u64;
        self.ratios.saturating_record(scaled.clamp(1, MAX_SCALED_RATIO));
        if self.ratios.len() >= MAX_SAMPLES {
            self.halve();
        }
        self.updated = now;
        if self.ratios.len() < MIN_SAMPLES {
            return false;
        }
        let summary = self.summary();
        let is_same = self.learned.is_some_and(|learned| learned.is_close(&summary));
        if !is_same {
            self.learned = Some(summary);
        }
        !is_same
    }

    fn summary(&self) -> Learned {
        let median = quantile(&self.ratios, 0.5).clamp(MIN_FACTOR, MAX_FACTOR);
        let tail = quantile(&self.ratios, 0.99).max(median * MIN_TAIL_FACTOR);
        Learned { median, tail }
    }

    /// Halves all counts. What is left of an odd count goes to the next higher ratio,
    /// so that ratios that occurred once do not all vanish.
    fn halve(&mut self) {
        let mut halved = empty_histogram();
        let mut carry = 0;
        for each in self.ratios.iter_recorded() {
            let count = carry + each.count_at_value();
            halved.saturating_record_n(each.value_iterated_to(), count / 2);
            carry = count % 2;
        }
        self.ratios = halved;
    }
}

/// Returns a histogram of ratios without samples.
pub(crate) fn empty_histogram() -> Histogram<u32> {
    let histogram = Histogram::new_with_bounds(1, MAX_SCALED_RATIO, RATIO_DIGITS);
    histogram.unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// Returns a quantile of ratios.
pub(crate) fn quantile(ratios: &Histogram<u32>, quantile: f64) -> f64 {
    ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE
}
