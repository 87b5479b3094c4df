//! Counts of the answers that callers got.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use crate::site::Answer;

/// Counts of the answers to one team's calls on one queue.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
    /// Calls that an endpoint answered completely.
    pub(super) answered: usize,
    /// Calls that were refused and are known not to have run.
    pub(super) not_run: usize,
    /// Calls whose outcome is unknown.
    pub(super) unknown: usize,
    /// Complete answers that came after the deadline.
    pub(super) late: usize,
    /// Response times of complete answers.
    pub(super) response_times: Vec<Duration>,
    /// Problem documents by code.
    pub(super) codes: BTreeMap<SmolStr, usize>,
}

/// Counts by queue and team.
pub(super) type Tallies = BTreeMap<(SmolStr, TeamId), Tally>;

impl Tally {
    /// Counts the answer to a call whose deadline was `deadline` after it was sent.
    pub(super) fn add(&mut self, answer: &Answer, deadline: Duration) {
        match answer.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.late += usize::from(answer.elapsed > deadline);
                self.response_times.push(answer.elapsed);
            }
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        if let Some(problem) = &answer.problem {
            *self.codes.entry(smol_str::format_smolstr!("{}", problem.code)).or_default() += 1;
        }
    }

    /// Returns the quantile of the response times at `fraction` (0.0 to 1.0), or `None` if
    /// no call was answered.
    pub(super) fn quantile(&self, fraction: f64) -> Option<Duration> {
        let mut times = self.response_times.clone();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        times.get((last as f64 * fraction).round() as usize).copied()
    }
}
