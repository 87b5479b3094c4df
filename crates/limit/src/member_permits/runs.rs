//! Starts and finishes runs, which use permits.

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{LimitRefusal, MemberPermits, Run, RunKey};

impl<F: PermitFaults> MemberPermits<F> {
    /// Takes one idle permit for a run.
    ///
    /// # Errors
    ///
    /// See [`MemberPermits::try_start_many`].
    pub fn try_start(&mut self, team: &TeamId) -> Result<RunKey, LimitRefusal> {
        self.try_start_many(team, Permits(1))
    }

    /// Takes `weight` idle permits for a run, all or none.
    ///
    /// # Errors
    ///
    /// [`LimitRefusal`] if the run may not start; no permit was taken.
    pub fn try_start_many(
        &mut self,
        team: &TeamId,
        weight: Permits,
    ) -> Result<RunKey, LimitRefusal> {
        if !self.open {
            return Err(LimitRefusal::NotMember);
        }
        let holding = self.holdings.get_mut(team);
        let holding = holding.filter(|each| each.limit.is_some_and(|limit| limit > Permits::ZERO));
        let Some(holding) = holding else {
            return Err(LimitRefusal::NoLimit { team: team.clone() });
        };
        if holding.over_limit && !F::START_OVER_LIMIT {
            return Err(LimitRefusal::OverLimit { team: team.clone() });
        }
        let idle = holding.idle();
        if idle < weight {
            return Err(LimitRefusal::InsufficientPermits {
                team: team.clone(),
                wanted: weight,
                idle,
            });
        }
        holding.running += weight;
        Ok(self.runs.insert(Run { team: team.clone(), weight }))
    }

    /// Makes the permits of a run idle again. The caller has proof that the run has
    /// ended.
    ///
    /// Returns `None` if the run was already finished.
    pub fn finish(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if let Some(holding) = self.holdings.get_mut(&run.team) {
            holding.running = holding.running.saturating_sub(run.weight);
        }
        Some(run)
    }

    /// Returns the number of runs that are not finished.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }
}
