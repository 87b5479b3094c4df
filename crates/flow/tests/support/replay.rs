//! Replays of loads whose true durations and workers differ from what is specified.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use vg_base::prelude::*;
use vg_flow::{HealthChange, JobOutcome, SHARE_UNIT, StepSpec, TaskId, Team};

use super::spec::{job, queue, step, team};
use super::world::{Faults, World};

/// Teams and their weights; jobs without a team have weight 1. That of `high` is ample,
/// so that its jobs are late or in time by their durations alone.
const TEAMS: [(&str, u32); 2] = [("low", 1), ("high", 100)];

fn with_share((name, weight): (&str, u32)) -> (TeamId, Team) {
    (team(name), Team { share: Share(weight * SHARE_UNIT), ..Team::default() })
}

/// A world, and when each of its jobs was submitted and has ended.
#[allow(dead_code, reason = "each test uses a part")]
pub(crate) struct Replay {
    pub(crate) world: World,
    pub(crate) next: u128,
    pub(crate) submitted: HashMap<JobId, u64>,
    pub(crate) ended: HashMap<JobId, u64>,
    /// Workers that were ever on probation, the most at a time, and those that returned.
    pub(crate) quarantined: HashSet<HostId>,
    pub(crate) most_quarantined: usize,
    pub(crate) returned: HashSet<HostId>,
    /// Racks that were reported, with their workers.
    pub(crate) faulty_racks: Vec<(SmolStr, Vec<HostId>)>,
}

#[allow(dead_code, reason = "each test uses a part")]
pub(crate) fn worker(at: usize) -> HostId {
    format!("w{at}").parse().unwrap()
}

#[allow(dead_code, reason = "each test uses a part")]
impl Replay {
    /// Half of the workers are in pool `a`.
    pub(crate) fn new(seed: u64, workers: usize) -> Replay {
        let mut world = World::new(seed, workers, Faults::default());
        let mut config = (*world.config).clone();
        config.set_teams(TEAMS.into_iter().map(with_share).collect());
        world.config = Arc::new(config);
        world.scheduler.set_config(Arc::clone(&world.config));
        world.run(400);
        Replay {
            world,
            next: 1,
            submitted: HashMap::new(),
            ended: HashMap::new(),
            quarantined: HashSet::new(),
            most_quarantined: 0,
            returned: HashSet::new(),
            faulty_racks: Vec::new(),
        }
    }

    pub(crate) fn submit(&mut self, of: Option<&str>, steps: Vec<StepSpec>) -> JobId {
        let mut spec = (*job("q-a", steps, self.world.wall())).clone();
        spec.team = of.map(team);
        let id = self.world.submit(self.next, Arc::new(spec));
        self.next += 1;
        self.submitted.insert(id, self.world.ms);
        id
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.world.ms + ms;
        while self.world.ms < until {
            self.world.step();
            self.note_health();
            for (&id, stored) in &self.world.store {
                if stored.end == Some(JobOutcome::Done) {
                    self.ended.entry(id).or_insert(self.world.ms);
                }
            }
        }
    }

    pub(crate) fn note_health(&mut self) {
        for change in self.world.scheduler.take_health_changes() {
            match change {
                HealthChange::Quarantined { worker, .. } => _ = self.quarantined.insert(worker),
                HealthChange::Returned { worker, .. } => _ = self.returned.insert(worker),
                HealthChange::RackFault { rack, workers } => {
                    self.faulty_racks.push((rack, workers));
                }
            }
        }
        self.most_quarantined = self.most_quarantined.max(self.on_probation().len());
    }

    /// Returns the workers that are on probation.
    pub(crate) fn on_probation(&self) -> Vec<HostId> {
        let worst = self.world.scheduler.worst_workers(self.world.now()).into_iter();
        worst.filter(|each| each.quarantined).map(|each| each.worker).collect()
    }

    /// Submits jobs of `tasks` tasks of 200 ms and two cores at a fixed interval.
    pub(crate) fn stream(&mut self, ms: u64, interval_ms: u64, tasks: u32) {
        for _ in 0..ms / interval_ms {
            self.submit(None, vec![step(tasks, 2000, 200)]);
            self.run(interval_ms);
        }
    }

    /// Returns how many attempts have started on a worker since `since`.
    pub(crate) fn starts_on(&self, at: usize, since: u64) -> usize {
        self.world.started.iter().filter(|(ms, worker, _)| *worker == at && *ms >= since).count()
    }

    /// Returns the fraction of the jobs of a team that ended within their objective.
    pub(crate) fn in_time(&self, of: Option<&str>) -> f64 {
        let (mut jobs, mut in_time) = (0.0, 0.0);
        for (id, at) in &self.submitted {
            let spec = &self.world.store[id].spec;
            if spec.team != of.map(team) {
                continue;
            }
            let path = spec.critical_paths().into_iter().max().unwrap_or_default();
            let objective = path.mul_f64(1.6).as_millis() as u64 + 600;
            jobs += 1.0;
            in_time += f64::from(u8::from(
                self.ended.get(id).is_some_and(|ended| ended - at <= objective),
            ));
        }
        in_time / jobs
    }

    /// Returns the first start of a task.
    pub(crate) fn first_start(&self, id: TaskId) -> Option<u64> {
        let started = self.world.started.iter().find(|(.., task)| *task == id);
        started.map(|(ms, ..)| *ms)
    }

    pub(crate) fn median(&self) -> Option<f64> {
        let quantiles = self.world.scheduler.duration_quantiles();
        quantiles.iter().find(|each| each.queue == queue("q-a")).map(|each| each.median)
    }
}
