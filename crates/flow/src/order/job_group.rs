//! Jobs that go before or after the turns of their team's size classes.
//!
//! Load that this module handles: a team has more jobs than can end in time, and a job
//! has its value only if all its tasks end in time. A job that is begun and can be
//! finished in time goes before new ones, and a large job that could not be finished in
//! time is not begun before others.

use vg_base::prelude::*;

use crate::jobs::job::JobKey;
use crate::order::rank::RankInput;
use crate::placement::plan::rank_input;
use crate::shares::contention::ContendedPool;
use crate::{Scheduler, SizeClass};

/// Whether a job goes before or after the turns of the size classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum JobGroup {
    /// Tasks of it have started, and what its team gets suffices to finish it in time.
    Begun,
    /// It has no precedence.
    Waiting,
    /// None has started, and what its team gets is too little to finish it in time.
    Unfinishable,
}

impl Scheduler {
    /// Returns the group of a job whose team has begun jobs that need `begun_work`
    /// machine-seconds more.
    pub(crate) fn job_group(
        &self,
        key: JobKey,
        class: SizeClass,
        begun_work: f64,
        pool: &ContendedPool,
        wall: SystemTime,
    ) -> JobGroup {
        let job = &self.jobs[key];
        if !job.is_begun() && class != SizeClass::Large {
            return JobGroup::Waiting;
        }
        let work = pool.waiting_work(job) + if job.is_begun() { 0.0 } else { begun_work };
        let possible_work = self.spare_time(key, wall) * pool.allocated_machines(job.team_index);
        match (job.is_begun(), work <= possible_work) {
            (true, true) => JobGroup::Begun,
            (false, false) => JobGroup::Unfinishable,
            _ => JobGroup::Waiting,
        }
    }

    /// Returns for how many seconds the tasks of a job can wait so that it still ends in
    /// time; 0 if it can't.
    pub(crate) fn spare_time(&self, key: JobKey, wall: SystemTime) -> f64 {
        let Some(input) = self.rank_input_of(key, wall) else { return 0.0 };
        let needed = input.age + input.remaining_path;
        input.objective().saturating_sub(needed).as_secs_f64()
    }

    /// Returns the input of a job's rank; `None` if nothing is known of its queue. The value of
    /// the job, which depends on its queue's mean work, is not meant to be used.
    pub(crate) fn rank_input_of(&self, key: JobKey, wall: SystemTime) -> Option<RankInput> {
        let job = &self.jobs[key];
        let queue = self.config.queue_of(&job.spec)?;
        Some(rank_input(job, queue, job.work, wall))
    }

    /// Returns the waiting work of each team's begun jobs, in machine-seconds.
    pub(crate) fn begun_work(&self, jobs: &[JobKey], pool: &ContendedPool) -> Vec<f64> {
        let mut work = vec![0.0; self.teams.ids().len()];
        for job in jobs.iter().map(|&key| &self.jobs[key]).filter(|job| job.is_begun()) {
            work[job.team_index.position()] += pool.waiting_work(job);
        }
        work
    }
}
