//! The oracle: the invariants of the system, checked in the simplest possible way.

use std::collections::BTreeMap;
use std::time::Duration;

use vg_base::prelude::*;

use super::store::Store;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// More attempts run than the highest limit allows that was in force since the cluster
    /// state that the starting member knows.
    TooManyAttempts { team: TeamId, running: u32, limit: u32 },
    /// Two members dispatch a pool at the same time.
    TwoDispatchers { pool: PoolId, members: Vec<Member> },
    /// A member treats an old revision as the latest one.
    StaleRevision { member: Member, revision: Revision, latest: Revision },
    /// The cluster state grants more permits than a limit allows.
    TooMuchGranted { team: TeamId, granted: i64, limit: u32 },
    /// Something does not recover after all faults have ended.
    NotRecovered { what: String },
}

/// A running attempt. It runs to its end even if its process is gone.
#[derive(Debug, Clone)]
struct Attempt {
    team: TeamId,
    weight: u32,
    end: Duration,
}

/// Tracks the attempts of all processes, including processes that are gone.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    attempts: Vec<Attempt>,
    /// The latest revision that was announced as accepted, and when it was announced.
    pub(crate) announced: Option<(Revision, Duration)>,
    /// When each revision was committed.
    pub(crate) committed: BTreeMap<Revision, Duration>,
}

impl Oracle {
    pub(crate) fn announce(&mut self, revision: Revision, now: Duration) {
        if self.announced.is_none_or(|(known, _)| known < revision) {
            self.announced = Some((revision, now));
        }
    }

    /// Returns the total weight of a team's running attempts.
    pub(crate) fn running(&mut self, now: Duration, team: &TeamId) -> u32 {
        self.attempts.retain(|attempt| attempt.end > now);
        self.attempts
            .iter()
            .filter(|attempt| attempt.team == *team)
            .map(|attempt| attempt.weight)
            .sum()
    }

    /// Records the start of an attempt on a member that knows the cluster state of `epoch`, and
    /// checks that the attempts don't exceed the limit.
    pub(crate) fn start_attempt(
        &mut self,
        now: Duration,
        store: &Store,
        epoch: Epoch,
        (team, weight, end): (TeamId, u32, Duration),
    ) -> Result<(), Violation> {
        self.attempts.push(Attempt { team: team.clone(), weight, end });
        let running = self.running(now, &team);
        let limits = store
            .history
            .range(epoch..)
            .map(|(_, cluster_state)| cluster_state.ledger.limit(&team).get());
        let limit = limits.max().unwrap_or(0);
        if running > limit {
            return Err(Violation::TooManyAttempts { team, running, limit });
        }
        Ok(())
    }

    /// Checks in the last three cluster states that the sum of grants exceeds a limit only if
    /// it did so before, that is after the limit was lowered.
    pub(crate) fn check_grants(&self, store: &Store) -> Result<(), Violation> {
        let mut previous: BTreeMap<TeamId, i64> = BTreeMap::new();
        for cluster_state in
            store.history.values().rev().take(3).collect::<Vec<_>>().into_iter().rev()
        {
            let teams =
                cluster_state.ledger.accounts.values().flat_map(|account| account.grants.keys());
            let mut sums = BTreeMap::new();
            for team in teams.cloned().collect::<std::collections::BTreeSet<_>>() {
                let granted = cluster_state.ledger.granted(&team).0;
                let limit = cluster_state.ledger.limit(&team).get();
                let known = previous.get(&team).copied();
                let allowed = known.map_or(i64::MAX, |known| known.max(i64::from(limit)));
                if granted > allowed {
                    return Err(Violation::TooMuchGranted { team, granted, limit });
                }
                sums.insert(team, granted);
            }
            previous = sums;
        }
        Ok(())
    }
}
