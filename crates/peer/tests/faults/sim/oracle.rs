//! What must hold, kept as simply as possible.

use std::collections::BTreeMap;
use std::time::Duration;

use vg_base::prelude::*;

use super::store::Store;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// More runs than any limit since the starting node's book allows.
    TooManyRuns { team: TeamId, running: u32, limit: u32 },
    /// Two members dispatch a pool at the same time.
    TwoDispatchers { pool: PoolId, members: Vec<Member> },
    /// A member takes an old revision for the latest.
    StaleRevision { member: Member, revision: Revision, latest: Revision },
    /// The book grants more than a limit allows.
    TooMuchGranted { team: TeamId, granted: i64, limit: u32 },
    /// After all faults have ended something does not come back.
    NotRecovered { what: String },
}

/// One run, wherever its process is.
#[derive(Debug, Clone)]
struct Run {
    team: TeamId,
    weight: u32,
    end: Duration,
}

/// Counts what runs over all processes, also those that are gone.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    runs: Vec<Run>,
    /// The latest revision that was announced as accepted, and when.
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

    pub(crate) fn running(&mut self, now: Duration, team: &TeamId) -> u32 {
        self.runs.retain(|run| run.end > now);
        self.runs.iter().filter(|run| run.team == *team).map(|run| run.weight).sum()
    }

    /// A run starts on a member that knows the book of `epoch`.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        store: &Store,
        epoch: Epoch,
        (team, weight, end): (TeamId, u32, Duration),
    ) -> Result<(), Violation> {
        self.runs.push(Run { team: team.clone(), weight, end });
        let running = self.running(now, &team);
        let limits = store
            .history
            .range(epoch..)
            .map(|(_, cluster_state)| cluster_state.ledger.limit(&team).get());
        let limit = limits.max().unwrap_or(0);
        if running > limit {
            return Err(Violation::TooManyRuns { team, running, limit });
        }
        Ok(())
    }

    /// The sum of grants may exceed a limit only if it did so before.
    pub(crate) fn check_grants(&self, store: &Store) -> Result<(), Violation> {
        let mut before: BTreeMap<TeamId, i64> = BTreeMap::new();
        for cluster_state in
            store.history.values().rev().take(3).collect::<Vec<_>>().into_iter().rev()
        {
            let teams =
                cluster_state.ledger.accounts.values().flat_map(|account| account.grants.keys());
            let mut sums = BTreeMap::new();
            for team in teams.cloned().collect::<std::collections::BTreeSet<_>>() {
                let granted = cluster_state.ledger.granted(&team).0;
                let limit = cluster_state.ledger.limit(&team).get();
                let known = before.get(&team).copied();
                let allowed = known.map_or(i64::MAX, |known| known.max(i64::from(limit)));
                if granted > allowed {
                    return Err(Violation::TooMuchGranted { team, granted, limit });
                }
                sums.insert(team, granted);
            }
            before = sums;
        }
        Ok(())
    }
}
