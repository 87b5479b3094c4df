//! Order of the jobs of all teams within one tier of a contended pool.
//!
//! Load that this module handles: more jobs wait than a pool can serve in time. Each
//! team offers one job at a time, of the size class that is next by its turns. Among
//! the offered jobs the one with the highest value per work is served.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::SizeClass;
use crate::contention::ContendedPool;
use crate::job::JobKey;
use crate::teams::TeamIndex;

/// A job and its position by value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    position: usize,
    key: JobKey,
}

/// Jobs of a team that have not been tried, by size class, the most valuable first.
#[derive(Debug, Clone, Default)]
struct TeamJobs([VecDeque<Candidate>; SizeClass::ALL.len()]);

/// Jobs of a tier that have not been tried.
#[derive(Debug)]
pub(crate) struct TeamTurns {
    teams: Vec<TeamJobs>,
    /// The job that each team offers.
    offered: BinaryHeap<Reverse<(Candidate, TeamIndex)>>,
    added: usize,
    /// Team whose job was taken last.
    pending: Option<TeamIndex>,
}

impl TeamTurns {
    pub(crate) fn new(teams: usize) -> TeamTurns {
        TeamTurns {
            teams: vec![TeamJobs::default(); teams],
            offered: BinaryHeap::new(),
            added: 0,
            pending: None,
        }
    }

    /// Adds a job; jobs are added in the order of their value.
    pub(crate) fn add(&mut self, team: TeamIndex, class: SizeClass, key: JobKey) {
        let candidate = Candidate { position: self.added, key };
        self.teams[team.position()].0[class as usize].push_back(candidate);
        self.added += 1;
    }

    /// Lets each team offer its first job.
    pub(crate) fn begin(&mut self, pool: &ContendedPool) {
        for team in TeamIndex::all(self.teams.len()) {
            self.offer(team, pool);
        }
    }

    /// Returns the next job to place. The next job of the same team is chosen when this
    /// one has been placed, so that its work counts.
    pub(crate) fn next(&mut self, pool: &ContendedPool) -> Option<JobKey> {
        if let Some(team) = self.pending.take() {
            self.offer(team, pool);
        }
        let Reverse((candidate, team)) = self.offered.pop()?;
        self.pending = Some(team);
        Some(candidate.key)
    }

    fn offer(&mut self, team: TeamIndex, pool: &ContendedPool) {
        let jobs = &mut self.teams[team.position()].0;
        let waiting = SizeClass::ALL.into_iter().filter(|class| !jobs[*class as usize].is_empty());
        let served = |class: &SizeClass| pool.served_part(team, *class);
        let next = waiting.min_by(|a, b| served(a).total_cmp(&served(b)));
        if let Some(candidate) = next.and_then(|class| jobs[class as usize].pop_front()) {
            self.offered.push(Reverse((candidate, team)));
        }
    }
}
