//! A leader whose starts are answered slowly: its processor or link is used up.

mod support;

use support::spec::{config, job, pool, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, FencingToken, Report, RunningAttempt, Scheduler, SchedulingRules, StartAnswer,
    StartCommand, StepSpec, WorkerIncarnation, WorkerRegistration,
};
use vg_jobs::Resources;

use std::collections::VecDeque;
use std::sync::Arc;

/// Room for more tasks than the leader can start in time.
const CAPACITY: Resources = Resources::new(2_000_000, 4 << 40, 0);
/// Duration of one step.
const STEP_MS: u64 = 10;
/// Steps between two polls.
const STEPS_PER_POLL: u64 = 20;

/// A leader that can exchange a limited number of start commands per second; the
/// others wait for their turn.
struct SlowLeader {
    scheduler: Scheduler,
    now: Instant,
    /// Starts answered per step.
    per_step: usize,
    waiting: VecDeque<StartCommand>,
    running: Vec<RunningAttempt>,
    started: Vec<StartCommand>,
    most_waiting: usize,
    step: u64,
}

impl SlowLeader {
    fn new(per_step: usize) -> SlowLeader {
        let now = Instant::now();
        let token = FencingToken(5);
        let mut scheduler =
            Scheduler::new(SchedulingRules::default(), token, Arc::new(config()), now);
        scheduler.register(
            &WorkerRegistration {
                incarnation: WorkerIncarnation {
                    id: "w".parse().unwrap(),
                    start_ms: 1,
                    pool: pool("a"),
                    addr: ([127, 0, 0, 1], 1).into(),
                },
                zone: "z".parse().unwrap(),
                draining: false,
                capacity: CAPACITY,
                labels: Vec::new(),
                machine: None,
                cold_left: Duration::ZERO,
            },
            now,
        );
        let records = scheduler.incarnation_records(now);
        scheduler.records_written(&records, scheduler.token());
        let mut leader = SlowLeader {
            scheduler,
            now,
            per_step,
            waiting: VecDeque::new(),
            running: Vec::new(),
            started: Vec::new(),
            most_waiting: 0,
            step: 0,
        };
        leader.poll(&"w".parse().unwrap());
        leader
    }

    fn submit(&mut self, number: u128, steps: Vec<StepSpec>) {
        let mut spec = (*job("q-a", steps, wall())).clone();
        spec.team = None;
        self.scheduler.add_job(JobId::new(number), Arc::new(spec), 100, self.now);
    }

    fn run(&mut self, ms: u64) {
        let id: HostId = "w".parse().unwrap();
        for _ in 0..ms / STEP_MS {
            self.now += Duration::from_millis(STEP_MS);
            self.step += 1;
            if self.step.is_multiple_of(STEPS_PER_POLL) {
                self.poll(&id);
            }
            for action in self.scheduler.plan(self.now, wall()) {
                if let Action::Start(start) = action {
                    self.waiting.push_back(start);
                }
            }
            self.most_waiting = self.most_waiting.max(self.waiting.len());
            for _ in 0..self.per_step {
                let Some(start) = self.waiting.pop_front() else { break };
                self.answer(start);
            }
        }
    }

    /// Applies a report that shows progress, so that no attempt counts as stalled.
    fn poll(&mut self, id: &HostId) {
        self.running.iter_mut().for_each(|each| each.percent = each.percent % 98 + 1);
        self.scheduler.renewal(id, self.now);
        let report = Report {
            start_ms: Some(1),
            clock_ms: 1000,
            running: self.running.clone(),
            ended: Vec::new(),
        };
        self.scheduler.apply_report(id, &report, self.now, self.now);
    }

    fn answer(&mut self, start: StartCommand) {
        self.running.push(RunningAttempt {
            task: start.task,
            attempt: start.attempt,
            checkpoint: SmolStr::default(),
            percent: 0,
            gauge: 0.0,
        });
        let answer = StartAnswer::Started;
        self.scheduler.start_answered(start.task, start.attempt, answer, self.now);
        self.started.push(start);
    }
}

fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1000)
}

/// Guards against a leader that sends all starts at once although it can not exchange
/// them in time, so that they count as unanswered and are sent again.
#[test]
fn a_slow_leader_lets_tasks_wait_instead_of_their_starts() {
    let mut leader = SlowLeader::new(1);
    leader.submit(1, vec![step(1000, 1000, 1000)]);
    leader.run(4000);
    leader.most_waiting = 0;
    leader.run(2000);
    // One start each 10 ms: more than 45 would pass the limit of 450 ms.
    assert!(leader.most_waiting <= 45, "{}", leader.most_waiting);
    assert!(leader.started.len() >= 550, "{}", leader.started.len());
}

/// Guards against a window that stays small after the overload.
#[test]
fn a_leader_that_is_fast_again_starts_all_tasks() {
    let mut leader = SlowLeader::new(1);
    leader.submit(1, vec![step(800, 500, 1000)]);
    leader.run(4000);
    leader.per_step = 1000;
    leader.run(3000);
    assert_eq!(leader.started.len(), 800);
}

/// Guards against continuous tasks that wait behind a backlog of other tasks.
#[test]
fn a_slow_leader_starts_continuous_tasks_first() {
    let mut leader = SlowLeader::new(1);
    leader.submit(1, vec![step(1000, 500, 1000)]);
    leader.run(3000);
    leader.submit(2, vec![StepSpec { continuous: true, ..step(5, 500, 0) }]);
    leader.run(1000);
    let continuous = leader.started.iter().filter(|start| start.task.step.job == JobId::new(2));
    assert_eq!(continuous.count(), 5);
}

/// Guards against jobs that are accepted though they can not be started in time, and
/// against jobs that are refused though they can.
#[test]
fn jobs_are_refused_while_the_backlog_is_longer_than_it_should_be() {
    let mut leader = SlowLeader::new(1);
    assert_eq!(leader.scheduler.refusal_time(leader.now), None);
    leader.submit(1, vec![step(1100, 500, 1000)]);
    leader.run(4000);
    assert!(leader.scheduler.refusal_time(leader.now).is_some());
    leader.run(6000);
    assert_eq!(leader.scheduler.refusal_time(leader.now), None);
    // A pool without capacity is no reason to refuse: it frees up.
    let mut leader = SlowLeader::new(1000);
    leader.submit(1, vec![step(1500, 2000, 1000)]);
    leader.run(4000);
    assert_eq!(leader.scheduler.refusal_time(leader.now), None);
}
