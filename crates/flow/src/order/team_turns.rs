//! Order of the jobs of all teams within one tier of a contended pool.
//!
//! Load that this module handles: more jobs wait than a pool can serve in time. Each
//! team offers one job at a time, of the size class that is next by its turns. Among
//! the offered jobs the one with the highest value per work is served.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::SizeClass;
use crate::jobs::job::JobKey;
use crate::order::job_group::JobGroup;
use crate::shares::contention::{ContendedPool, ShareStatus};
use crate::shares::teams::TeamIndex;

/// A job and its position: by its team's share status, begun jobs first, then by value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    status: ShareStatus,
    group: JobGroup,
    position: usize,
    key: JobKey,
}

/// Jobs of a team that have not been tried, the most valuable first.
#[derive(Debug, Clone, Default)]
struct TeamJobs {
    begun: VecDeque<Candidate>,
    by_size: [VecDeque<Candidate>; SizeClass::ALL.len()],
    unfinishable: VecDeque<Candidate>,
}

impl TeamJobs {
    /// Takes the first job of the size class of which the smallest part was served.
    fn next_by_size(&mut self, team: TeamIndex, pool: &ContendedPool) -> Option<Candidate> {
        let classes = SizeClass::ALL.into_iter();
        let waiting = classes.filter(|class| !self.by_size[*class as usize].is_empty());
        let served = |class: &SizeClass| pool.served_part(team, *class);
        let next = waiting.min_by(|a, b| served(a).total_cmp(&served(b)))?;
        self.by_size[next as usize].pop_front()
    }
}

/// Jobs of a tier that have not been tried.
#[derive(Debug)]
pub(crate) struct TeamTurns {
    teams: Vec<TeamJobs>,
    /// The job that each team offers.
    offered: BinaryHeap<Reverse<(Candidate, TeamIndex)>>,
    /// Number of jobs that were added.
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
    pub(crate) fn add(
        &mut self,
        team: TeamIndex,
        status: ShareStatus,
        group: JobGroup,
        class: SizeClass,
        key: JobKey,
    ) {
        let candidate = Candidate { status, group, position: self.added, key };
        let jobs = &mut self.teams[team.position()];
        let list = match group {
            JobGroup::Begun => &mut jobs.begun,
            JobGroup::Waiting => &mut jobs.by_size[class as usize],
            JobGroup::Unfinishable => &mut jobs.unfinishable,
        };
        list.push_back(candidate);
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
        let jobs = &mut self.teams[team.position()];
        let next = jobs.begun.pop_front().or_else(|| jobs.next_by_size(team, pool));
        if let Some(candidate) = next.or_else(|| jobs.unfinishable.pop_front()) {
            self.offered.push(Reverse((candidate, team)));
        }
    }
}
