//! What callers were told, added up.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use crate::site::Answer;

/// Answers of one queue and team.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
    /// Whole answers.
    pub(super) answered: usize,
    /// Proved refusals.
    pub(super) not_run: usize,
    /// Outcomes that can't be proved.
    pub(super) unknown: usize,
    /// Answers past their deadline.
    pub(super) late: usize,
    /// Times of whole answers.
    pub(super) times: Vec<Duration>,
    /// Refusals by code.
    pub(super) codes: BTreeMap<SmolStr, usize>,
}

/// Tallies by queue and team.
pub(super) type Tallies = BTreeMap<(SmolStr, TeamId), Tally>;

impl Tally {
    /// Adds an answer to a call that had `deadline` time.
    pub(super) fn add(&mut self, answer: &Answer, deadline: Duration) {
        match answer.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.late += usize::from(answer.took > deadline);
                self.times.push(answer.took);
            }
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        if let Some(problem) = &answer.problem {
            *self.codes.entry(smol_str::format_smolstr!("{}", problem.code)).or_default() += 1;
        }
    }

    /// Returns the time that a part of the whole answers did not exceed.
    pub(super) fn quantile(&self, part: f64) -> Option<Duration> {
        let mut times = self.times.clone();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        times.get((last as f64 * part).round() as usize).copied()
    }
}
