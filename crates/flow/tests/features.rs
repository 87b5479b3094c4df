//! Gangs, occurrences, the adviser, pacing, labels and bad workers.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use support::spec::{config, job, pool, queue, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, AdviserTiming, AttemptNumber, AttemptOutcome, EndedAttempt, FencingToken, JobOutcome,
    JobState, OperatorConfig, Report, RunningAttempt, Schedule, Scheduler, SchedulingRules,
    StartAnswer, StartCommand, StepSpec, StopReason, TaskId, WorkerIncarnation, WorkerRegistration,
};
use vg_jobs::Resources;

/// A leader with workers that the test speaks for.
struct Bench {
    scheduler: Scheduler,
    now: Instant,
    wall: SystemTime,
    running: HashMap<HostId, Vec<RunningAttempt>>,
    ends: HashMap<HostId, Vec<EndedAttempt>>,
}

fn worker(at: usize) -> HostId {
    format!("w{at}").parse().unwrap()
}

impl Bench {
    /// Workers of pool `a`, two a rack.
    fn new(workers: usize, config: OperatorConfig) -> Bench {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(5000);
        let mut scheduler =
            Scheduler::new(SchedulingRules::default(), FencingToken(3), Arc::new(config), now);
        let mut running = HashMap::new();
        for at in 0..workers {
            let incarnation = WorkerIncarnation {
                id: worker(at),
                start_ms: 1,
                pool: pool("a"),
                addr: ([127, 0, 0, 1], 1).into(),
            };
            let entry = WorkerRegistration {
                incarnation,
                zone: "z".parse().unwrap(),
                draining: false,
                capacity: Resources::new(16_000, 32 << 30, 0),
                labels: vec![format!("kind-{}", at % 2).into(), format!("r{}", at / 2).into()],
                machine: None,
            };
            scheduler.register(&entry, now);
            running.insert(worker(at), Vec::new());
        }
        let lives = scheduler.incarnation_records(now, wall);
        scheduler.records_written(&lives);
        let mut bench = Bench { scheduler, now, wall, running, ends: HashMap::new() };
        bench.look();
        bench
    }

    fn add(&mut self, id: u128, steps: Vec<StepSpec>) -> JobId {
        let mut spec = (*job("q-a", steps, self.wall)).clone();
        spec.team = None;
        self.scheduler.add_job(JobId::new(id), Arc::new(spec), 100, self.now);
        JobId::new(id)
    }

    fn look(&mut self) {
        for (id, rows) in &self.running {
            if self.scheduler.renewal(id, self.now).is_none() {
                continue;
            }
            let report = Report {
                start_ms: Some(1),
                clock_ms: 1000,
                running: rows.clone(),
                ended: self.ends.get(id).cloned().unwrap_or_default(),
            };
            let sent = self.now - Duration::from_millis(1);
            self.scheduler.apply_report(id, &report, sent, self.now);
        }
    }

    fn pass(&mut self, ms: u64) -> Vec<Action> {
        self.now += Duration::from_millis(ms);
        self.wall += Duration::from_millis(ms);
        self.look();
        self.scheduler.plan(self.now, self.wall)
    }

    /// Carries out starts and returns them.
    fn accept(&mut self, actions: Vec<Action>) -> Vec<StartCommand> {
        let mut starts = Vec::new();
        for action in actions {
            let Action::Start(start) = action else { continue };
            self.running.get_mut(&start.incarnation.id).unwrap().push(RunningAttempt {
                task: start.task,
                attempt: start.attempt,
                checkpoint: SmolStr::default(),
                percent: 1,
                gauge: 0.0,
            });
            self.scheduler.start_answered(
                start.task,
                start.attempt,
                StartAnswer::Started,
                self.now,
            );
            starts.push(start);
        }
        starts
    }

    fn end(&mut self, start: &StartCommand, outcome: AttemptOutcome) {
        let id = start.incarnation.id.clone();
        self.running.get_mut(&id).unwrap().retain(|row| row.task != start.task);
        let ends = self.ends.entry(id).or_default();
        let number = ends.len() as u64 + 1;
        let checkpoint = SmolStr::default();
        ends.push(EndedAttempt {
            number,
            task: start.task,
            attempt: start.attempt,
            outcome,
            checkpoint,
        });
    }
}

fn stops(actions: &[Action]) -> Vec<(TaskId, AttemptNumber, StopReason)> {
    let stop = |action: &Action| match action {
        Action::Stop { task, attempt, reason, .. } => Some((*task, *attempt, *reason)),
        _ => None,
    };
    actions.iter().filter_map(stop).collect()
}

#[test]
fn a_gang_starts_as_a_whole_on_one_rack_with_one_run_number() {
    let mut bench = Bench::new(4, config());
    bench.add(1, vec![StepSpec { gang: true, same_rack: true, ..step(3, 9000, 500) }]);
    // Two fit on a rack of two workers: three don't, so they go anywhere.
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.attempt == starts[0].attempt));
    // One end stands for all members.
    bench.end(&starts[1], AttemptOutcome::Done);
    bench.pass(10);
    let batch = bench.scheduler.next_batch();
    bench.scheduler.batch_committed(&batch);
    assert!(batch.records.iter().any(|record| record.job == JobId::new(1)));
}

#[test]
fn a_gang_that_does_not_fit_waits_and_takes_no_room() {
    let mut bench = Bench::new(2, config());
    bench.add(1, vec![StepSpec { gang: true, ..step(3, 12_000, 500) }]);
    let actions = bench.pass(10);
    assert!(bench.accept(actions).is_empty());
    let other = bench.add(2, vec![step(2, 12_000, 500)]);
    let actions = bench.pass(10);
    assert!(bench.accept(actions).iter().all(|start| start.task.step.job == other));
}

#[test]
fn members_are_stopped_before_they_give_up_on_a_missing_one() {
    let mut bench = Bench::new(4, config());
    bench.add(1, vec![StepSpec { gang: true, ..step(3, 9000, 500) }]);
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    let first = &starts[0];
    bench.end(first, AttemptOutcome::Stopped);
    let actions = bench.pass(50);
    let stopped = stops(&actions);
    assert_eq!(stopped.len(), 2);
    assert!(stopped.iter().all(|(.., reason)| *reason == StopReason::GangIncomplete));
}

#[test]
fn occurrences_start_at_their_time_and_the_job_ends_with_the_last() {
    let mut bench = Bench::new(2, config());
    let first = bench.wall + Duration::from_secs(2);
    let mut spec = (*job("q-a", vec![step(1, 1000, 100)], bench.wall)).clone();
    spec.team = None;
    spec.schedule = Some(Schedule { first, interval: Duration::from_secs(3), times: 2 });
    let id = JobId::new(7);
    bench.scheduler.add_job(id, Arc::new(spec), 100, bench.now);
    let actions = bench.pass(1500);
    assert!(bench.accept(actions).is_empty(), "more than a quarter of a second early");
    for round in 0..2 {
        let wait = if round == 0 { 500 } else { 3000 };
        let actions = bench.pass(wait);
        let starts = bench.accept(actions);
        assert_eq!(starts.len(), 1, "occurrence {round}");
        assert_eq!(starts[0].task.step.occurrence, round);
        assert_eq!(bench.scheduler.job_state(id), Some(JobState::Running));
        bench.end(&starts[0], AttemptOutcome::Done);
        bench.pass(10);
    }
    let batch = bench.scheduler.next_batch();
    bench.scheduler.batch_committed(&batch);
    assert_eq!(bench.scheduler.job_state(id), None, "its end is durable and it has no runs");
}

#[test]
fn steps_wait_for_the_adviser_and_carry_its_permission() {
    let mut advised = config();
    let times = AdviserTiming {
        base: Duration::from_millis(20),
        per_worker: Duration::from_millis(5),
        validity: Duration::from_secs(3),
    };
    advised.queues.get_mut(&queue("q-a")).unwrap().adviser = Some(times);
    let mut bench = Bench::new(3, advised);
    bench.add(1, vec![step(2, 1000, 500)]);
    let actions = bench.pass(10);
    let Some(Action::AskAdviser { step, workers }) = actions.first() else { panic!("{actions:?}") };
    assert_eq!(workers.len(), 3);
    assert!(bench.pass(10).is_empty(), "one question at a time, and no start before");
    let good = vec![(worker(1), SmolStr::from("ticket-1"))];
    let (step, workers, now) = (*step, workers.clone(), bench.now);
    bench.scheduler.adviser_answered(step, &workers, Some(&good), times.validity, now);
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 2);
    assert!(
        starts.iter().all(|start| start.incarnation.id == worker(1) && start.ticket == "ticket-1")
    );
}

#[test]
fn labels_and_racks_of_data_are_kept_to() {
    let mut bench = Bench::new(4, config());
    bench.add(1, vec![StepSpec { label: Some("kind-1".into()), ..step(3, 1000, 500) }]);
    bench.add(2, vec![StepSpec { data_rack: Some("r1".into()), ..step(2, 1000, 500) }]);
    let actions = bench.pass(10);
    for start in bench.accept(actions) {
        let at = start.incarnation.id.as_str()[1..].parse::<usize>().unwrap();
        match start.task.step.job.value() {
            1 => assert_eq!(at % 2, 1, "{start:?}"),
            _ => assert_eq!(at / 2, 1, "{start:?}"),
        }
    }
}

#[test]
fn filling_tasks_are_slowed_while_a_serving_one_is_near_its_target() {
    let mut bench = Bench::new(1, config());
    let latency_target = Some(Duration::from_millis(100));
    bench.add(1, vec![StepSpec { continuous: true, latency_target, ..step(1, 4000, 0) }]);
    bench.add(2, vec![StepSpec { continuous: true, best_effort: true, ..step(1, 4000, 0) }]);
    let actions = bench.pass(10);
    assert_eq!(bench.accept(actions).len(), 2);
    let set = |bench: &mut Bench, tail: f64| {
        for row in bench.running.values_mut().flatten() {
            row.percent = 100;
            row.gauge = if row.task.step.job == JobId::new(1) { tail } else { 3.0 };
        }
    };
    let paces = |actions: Vec<Action>| -> Vec<u8> {
        let pace = |action: Action| match action {
            Action::Throttle { percent, .. } => Some(percent),
            _ => None,
        };
        actions.into_iter().filter_map(pace).collect()
    };
    set(&mut bench, 120.0);
    assert_eq!(paces(bench.pass(100)), vec![60]);
    assert_eq!(paces(bench.pass(100)), Vec::<u8>::new(), "it is given time to show");
    assert_eq!(paces(bench.pass(600)), vec![30]);
    set(&mut bench, 40.0);
    assert_eq!(paces(bench.pass(600)), Vec::<u8>::new());
    assert_eq!(paces(bench.pass(1500)), vec![60]);
}

#[test]
fn a_worker_that_fails_all_rests_and_a_job_that_always_fails_condemns_none() {
    let mut bench = Bench::new(1, config());
    // A job that can't be done fails three times on the only worker.
    bench.add(1, vec![step(1, 1000, 200)]);
    for _ in 0..3 {
        let actions = bench.pass(40);
        let starts = bench.accept(actions);
        assert_eq!(starts.len(), 1);
        bench.end(&starts[0], AttemptOutcome::Failed);
        bench.pass(1);
    }
    bench.pass(10);
    let batch = bench.scheduler.next_batch();
    let failed = vg_flow::RecordKind::End(JobOutcome::Failed);
    assert!(batch.records.iter().any(|record| record.kind == failed));
    bench.scheduler.batch_committed(&batch);
    // Two more jobs fail there: three in a row, so it rests.
    bench.add(2, vec![step(1, 1000, 200)]);
    bench.add(3, vec![step(1, 1000, 200)]);
    let actions = bench.pass(40);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 2);
    starts.iter().for_each(|start| bench.end(start, AttemptOutcome::Failed));
    bench.pass(1);
    bench.add(4, vec![step(1, 1000, 200)]);
    let actions = bench.pass(100);
    assert!(bench.accept(actions).is_empty());
    let actions = bench.pass(2100);
    assert_eq!(bench.accept(actions).len(), 3);
}

#[test]
fn a_run_without_progress_is_stopped_and_started_elsewhere() {
    let mut bench = Bench::new(2, config());
    bench.add(1, vec![step(1, 1000, 500)]);
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    let (first, home) = (starts[0].clone(), starts[0].incarnation.id.clone());
    assert!(stops(&bench.pass(800)).is_empty());
    let stopped = stops(&bench.pass(1500));
    assert_eq!(stopped, vec![(first.task, first.attempt, StopReason::Stalled)]);
    let now = bench.now;
    bench.scheduler.stop_answered(first.task, first.attempt, now);
    bench.end(&first, AttemptOutcome::Stopped);
    bench.pass(1);
    let actions = bench.pass(100);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].incarnation.id, home);
    assert!(starts[0].attempt > first.attempt);
}
