//! Gangs, occurrences, the adviser, throttling, labels and failing workers.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use support::spec::{config, job, pool, queue, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, AdviserAnswer, AdviserTiming, AttemptNumber, AttemptOutcome, EndedAttempt,
    FencingToken, JobOutcome, JobState, OperatorConfig, PollFailure, Report, RunningAttempt,
    Schedule, Scheduler, SchedulingRules, StartAnswer, StartCommand, StepSpec, StopReason, TaskId,
    WorkerIncarnation, WorkerRegistration,
};
use vg_jobs::Resources;

/// A leader whose workers are simulated by the test.
struct Harness {
    scheduler: Scheduler,
    now: Instant,
    wall: SystemTime,
    /// Start of all workers.
    start_ms: u64,
    /// Revision of the store.
    revision: u64,
    /// Highest token that each worker has seen.
    tokens: HashMap<HostId, FencingToken>,
    running: HashMap<HostId, Vec<RunningAttempt>>,
    ends: HashMap<HostId, Vec<EndedAttempt>>,
}

fn worker(at: usize) -> HostId {
    format!("w{at}").parse().unwrap()
}

fn registration(at: usize, start_ms: u64, labels: [String; 2]) -> WorkerRegistration {
    WorkerRegistration {
        incarnation: WorkerIncarnation {
            id: worker(at),
            start_ms,
            pool: pool("a"),
            addr: ([127, 0, 0, 1], 1).into(),
        },
        zone: "z".parse().unwrap(),
        draining: false,
        capacity: Resources::new(16_000, 32 << 30, 0),
        labels: labels.map(SmolStr::from).into(),
        machine: None,
        cold_left: Duration::ZERO,
    }
}

impl Harness {
    /// Creates workers of pool `a`, two on each rack.
    fn new(workers: usize, config: OperatorConfig) -> Harness {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(5000);
        let mut scheduler =
            Scheduler::new(SchedulingRules::default(), FencingToken(3), Arc::new(config), now);
        let mut running = HashMap::new();
        for at in 0..workers {
            let labels = [format!("kind-{}", at % 2), format!("r{}", at / 2)];
            let registration = registration(at, 1, labels);
            scheduler.register(&registration, now);
            running.insert(worker(at), Vec::new());
        }
        let ends = HashMap::new();
        let mut harness = Harness {
            scheduler,
            now,
            wall,
            start_ms: 1,
            revision: 100,
            tokens: HashMap::new(),
            running,
            ends,
        };
        harness.write_records();
        harness.poll_workers();
        harness
    }

    fn write_records(&mut self) {
        let records = self.scheduler.incarnation_records(self.now);
        self.revision += 1;
        self.scheduler.records_written(&records, FencingToken(self.revision));
    }

    /// Lets time pass without answers to polls until the leader has dropped all workers.
    fn forget_workers(&mut self) {
        while !self.scheduler.worker_ids().is_empty() {
            self.now += Duration::from_millis(100);
            self.wall += Duration::from_millis(100);
            for id in self.running.keys() {
                let Some(renewal) = self.scheduler.renewal(id, self.now) else { continue };
                self.scheduler.poll_failed(&renewal, PollFailure::Silent, self.now);
            }
            self.scheduler.plan(self.now, self.wall);
        }
    }

    /// Starts all workers again under their ids, with nothing that runs or has ended.
    fn restart_workers(&mut self) {
        self.start_ms += 1;
        self.running.values_mut().for_each(Vec::clear);
        self.ends.clear();
    }

    fn submit(&mut self, id: u128, steps: Vec<StepSpec>) -> JobId {
        let mut spec = (*job("q-a", steps, self.wall)).clone();
        spec.team = None;
        self.scheduler.add_job(JobId::new(id), Arc::new(spec), 100, self.now);
        JobId::new(id)
    }

    fn poll_workers(&mut self) {
        for (id, attempts) in &self.running {
            let Some(renewal) = self.scheduler.renewal(id, self.now) else { continue };
            self.tokens.insert(id.clone(), renewal.token);
            let report = Report {
                start_ms: Some(self.start_ms),
                clock_ms: 1000,
                running: attempts.clone(),
                ended: self.ends.get(id).cloned().unwrap_or_default(),
            };
            let sent = self.now - Duration::from_millis(1);
            self.scheduler.apply_report(id, &report, sent, self.now);
        }
    }

    fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.now += Duration::from_millis(ms);
        self.wall += Duration::from_millis(ms);
        self.poll_workers();
        self.scheduler.plan(self.now, self.wall)
    }

    /// Executes start commands and returns them.
    fn execute_starts(&mut self, actions: Vec<Action>) -> Vec<StartCommand> {
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

    fn end_attempt(&mut self, start: &StartCommand, outcome: AttemptOutcome) {
        let id = start.incarnation.id.clone();
        self.running.get_mut(&id).unwrap().retain(|attempt| attempt.task != start.task);
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

fn stop_commands(actions: &[Action]) -> Vec<(TaskId, AttemptNumber, StopReason)> {
    let stop = |action: &Action| match action {
        Action::Stop { task, attempt, reason, .. } => Some((*task, *attempt, *reason)),
        _ => None,
    };
    actions.iter().filter_map(stop).collect()
}

/// Guards against a gang that starts in part or whose members get different
/// attempt numbers, here when it does not fit on one rack.
#[test]
fn gang_members_start_together_with_one_attempt_number() {
    let mut harness = Harness::new(4, config());
    harness.submit(1, vec![StepSpec { gang: true, same_rack: true, ..step(3, 9000, 500) }]);
    // Two members fit on a rack of two workers. Three do not, so they are
    // placed anywhere.
    let actions = harness.advance(10);
    let starts = harness.execute_starts(actions);
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.attempt == starts[0].attempt));
    // The end of one member completes all of them.
    harness.end_attempt(&starts[1], AttemptOutcome::Done);
    harness.advance(10);
    let batch = harness.scheduler.next_batch();
    harness.scheduler.batch_committed(&batch);
    assert!(batch.records.iter().any(|record| record.job == JobId::new(1)));
}

/// Guards against a gang that reserves capacity while it waits for more: three
/// members that need one worker each wait while there are two workers, and
/// another job must get these.
#[test]
fn a_gang_that_does_not_fit_waits_and_reserves_nothing() {
    let mut harness = Harness::new(2, config());
    harness.submit(1, vec![StepSpec { gang: true, ..step(3, 12_000, 500) }]);
    let actions = harness.advance(10);
    assert!(harness.execute_starts(actions).is_empty());
    let other = harness.submit(2, vec![step(2, 12_000, 500)]);
    let actions = harness.advance(10);
    assert!(harness.execute_starts(actions).iter().all(|start| start.task.step.job == other));
}

/// Guards against members that occupy capacity while they wait for a member
/// that has ended.
#[test]
fn the_rest_of_a_gang_is_stopped_when_a_member_ends() {
    let mut harness = Harness::new(4, config());
    harness.submit(1, vec![StepSpec { gang: true, ..step(3, 9000, 500) }]);
    let actions = harness.advance(10);
    let starts = harness.execute_starts(actions);
    let first = &starts[0];
    harness.end_attempt(first, AttemptOutcome::Stopped);
    let actions = harness.advance(50);
    let stopped = stop_commands(&actions);
    assert_eq!(stopped.len(), 2);
    assert!(stopped.iter().all(|(.., reason)| *reason == StopReason::GangIncomplete));
}

/// Guards against members that carry different checkpoints, so that they wait for each other
/// in run after run: the last report of one was older than those of the others.
#[test]
fn all_members_of_a_gang_continue_from_one_checkpoint() {
    let mut harness = Harness::new(4, config());
    let gang = StepSpec { gang: true, checkpoint: true, ..step(3, 9000, 500) };
    harness.submit(1, vec![gang]);
    let actions = harness.advance(10);
    let starts = harness.execute_starts(actions);
    assert_eq!(starts.len(), 3);
    for (index, values) in [["c1", "c1", "c1"], ["c1", "c2", "c1"]].into_iter().enumerate() {
        for (start, value) in starts.iter().zip(values) {
            let running = harness.running.get_mut(&start.incarnation.id).unwrap();
            running.iter_mut().for_each(|attempt| attempt.checkpoint = value.into());
        }
        harness.advance(100 + index as u64);
    }
    starts.iter().for_each(|start| harness.end_attempt(start, AttemptOutcome::GangBroken));
    let actions = harness.advance(100);
    let mut again = harness.execute_starts(actions);
    if again.is_empty() {
        let actions = harness.advance(100);
        again = harness.execute_starts(actions);
    }
    let checkpoints: Vec<_> = again.iter().map(|start| start.checkpoint.as_str()).collect();
    assert_eq!(checkpoints, ["c2"; 3]);
}

/// Guards against occurrences that start too early or not at all, and against a
/// job that ends before its last occurrence.
#[test]
fn occurrences_start_at_their_time_and_the_job_ends_with_the_last() {
    let mut harness = Harness::new(2, config());
    let first = harness.wall + Duration::from_secs(2);
    let mut spec = (*job("q-a", vec![step(1, 1000, 100)], harness.wall)).clone();
    spec.team = None;
    spec.schedule = Some(Schedule { first, interval: Duration::from_secs(3), times: 2 });
    let id = JobId::new(7);
    harness.scheduler.add_job(id, Arc::new(spec), 100, harness.now);
    let actions = harness.advance(1500);
    assert!(harness.execute_starts(actions).is_empty(), "more than a quarter of a second early");
    for occurrence in 0..2 {
        let wait = if occurrence == 0 { 500 } else { 3000 };
        let actions = harness.advance(wait);
        let starts = harness.execute_starts(actions);
        assert_eq!(starts.len(), 1, "occurrence {occurrence}");
        assert_eq!(starts[0].task.step.occurrence, occurrence);
        assert_eq!(harness.scheduler.job_state(id), Some(JobState::Running));
        harness.end_attempt(&starts[0], AttemptOutcome::Done);
        harness.advance(10);
    }
    let batch = harness.scheduler.next_batch();
    harness.scheduler.batch_committed(&batch);
    assert_eq!(
        harness.scheduler.job_state(id),
        None,
        "its outcome is durable and it has no attempts"
    );
}

/// Guards against a start without the adviser's ticket, and against a second
/// query while one is in progress.
#[test]
fn steps_wait_for_the_adviser_and_carry_its_ticket() {
    let mut advised = config();
    let timing = AdviserTiming {
        base: Duration::from_millis(20),
        per_worker: Duration::from_millis(5),
        validity: Duration::from_secs(3),
    };
    advised.queue_mut(&queue("q-a")).unwrap().adviser = Some(timing);
    let mut harness = Harness::new(3, advised);
    harness.submit(1, vec![step(2, 1000, 500)]);
    let actions = harness.advance(10);
    let Some(Action::AskAdviser { step, workers, permit }) = actions.first() else {
        panic!("{actions:?}")
    };
    assert_eq!(workers.len(), 3);
    assert!(harness.advance(10).is_empty(), "one query at a time, and no start before its answer");
    let permitted = vec![(worker(1), SmolStr::from("ticket-1"))];
    let answer = AdviserAnswer { permitted, valid_for: timing.validity };
    harness.scheduler.adviser_answered(*step, permit.key(), workers, Ok(&answer), harness.now);
    let actions = harness.advance(10);
    let starts = harness.execute_starts(actions);
    assert_eq!(starts.len(), 2);
    assert!(
        starts.iter().all(|start| start.incarnation.id == worker(1) && start.ticket == "ticket-1")
    );
}

/// Guards against tasks on a worker without the required label: it has started again under
/// its id as one of another kind, and kept the labels that it had before.
#[test]
fn a_worker_that_starts_again_has_the_labels_that_it_registers() {
    let mut harness = Harness::new(1, config());
    harness.restart_workers();
    harness.advance(10);
    harness.write_records();
    harness.submit(1, vec![StepSpec { label: Some("kind-0".into()), ..step(1, 1000, 500) }]);
    // Its answers show that it has started again, and its registration isn't read yet.
    assert!(harness.advance(100).is_empty());
    let labels = ["kind-1", "r7"].map(String::from);
    harness.scheduler.register(&registration(0, 2, labels), harness.now);
    harness.write_records();
    harness.advance(10);
    let id =
        harness.submit(2, vec![StepSpec { label: Some("kind-1".into()), ..step(1, 1000, 500) }]);
    // Soon after the restart its record names each task before it starts.
    assert!(harness.advance(100).is_empty());
    harness.write_records();
    let actions = harness.advance(100);
    let starts = harness.execute_starts(actions);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].task.step.job, id);
}

/// Guards against ends that nobody reads: polls of a worker's earlier life arrive in the next
/// one, and it forgets ends up to the number that they acknowledge. The tasks would run again.
#[test]
fn a_worker_that_starts_again_gets_no_work_before_it_refuses_earlier_polls() {
    for (acknowledged, dropped) in [(false, false), (true, false), (true, true)] {
        let mut harness = Harness::new(1, config());
        harness.submit(1, vec![step(1, 1000, 500)]);
        let actions = harness.advance(10);
        let starts = harness.execute_starts(actions);
        harness.end_attempt(&starts[0], AttemptOutcome::Done);
        harness.advance(10);
        if acknowledged {
            let batch = harness.scheduler.next_batch();
            harness.scheduler.batch_committed(&batch);
        }
        harness.restart_workers();
        if dropped {
            // It is away for so long that it is forgotten.
            harness.scheduler.deregister(&worker(0));
            harness.forget_workers();
        }
        let earlier = harness.tokens[&worker(0)];
        let labels = ["kind-0", "r0"].map(String::from);
        harness.scheduler.register(&registration(0, 2, labels), harness.now);
        harness.submit(2, vec![step(1, 1000, 500)]);
        // Polls may be on their way for 12 s, and the store is silent for most of that time.
        for _ in 0..110 {
            assert!(harness.advance(100).is_empty(), "{:?}", harness.tokens);
        }
        harness.write_records();
        // Its record names each task before it starts.
        assert!(harness.advance(100).is_empty(), "{:?}", harness.tokens);
        harness.write_records();
        let actions = harness.advance(100);
        assert_eq!(harness.execute_starts(actions).len(), 1);
        assert!(harness.tokens[&worker(0)] > earlier, "{earlier:?}, {:?}", harness.tokens);
    }
}

/// Guards against tasks on workers without the required label, or far from
/// their data while workers on its rack are free.
#[test]
fn tasks_run_on_workers_with_their_label_and_data_rack() {
    let mut harness = Harness::new(4, config());
    harness.submit(1, vec![StepSpec { label: Some("kind-1".into()), ..step(3, 1000, 500) }]);
    harness.submit(2, vec![StepSpec { data_rack: Some("r1".into()), ..step(2, 1000, 500) }]);
    let actions = harness.advance(10);
    for start in harness.execute_starts(actions) {
        let at = start.incarnation.id.as_str()[1..].parse::<usize>().unwrap();
        match start.task.step.job.value() {
            1 => assert_eq!(at % 2, 1, "{start:?}"),
            _ => assert_eq!(at / 2, 1, "{start:?}"),
        }
    }
}

/// Guards against best-effort tasks that keep their speed while a
/// latency-sensitive task beside them exceeds its target, and against speed
/// changes faster than their effect can show.
#[test]
fn best_effort_tasks_are_throttled_while_a_latency_sensitive_one_is_near_its_target() {
    let mut harness = Harness::new(1, config());
    let latency_target = Some(Duration::from_millis(100));
    harness.submit(1, vec![StepSpec { continuous: true, latency_target, ..step(1, 4000, 0) }]);
    harness.submit(2, vec![StepSpec { continuous: true, best_effort: true, ..step(1, 4000, 0) }]);
    let actions = harness.advance(10);
    assert_eq!(harness.execute_starts(actions).len(), 2);
    let set = |harness: &mut Harness, tail: f64| {
        for attempt in harness.running.values_mut().flatten() {
            attempt.percent = 100;
            attempt.gauge = if attempt.task.step.job == JobId::new(1) { tail } else { 3.0 };
        }
    };
    let speeds = |actions: Vec<Action>| -> Vec<u8> {
        let speed = |action: Action| match action {
            Action::Throttle { percent, .. } => Some(percent),
            _ => None,
        };
        actions.into_iter().filter_map(speed).collect()
    };
    set(&mut harness, 120.0);
    assert_eq!(speeds(harness.advance(100)), vec![60]);
    assert_eq!(speeds(harness.advance(100)), Vec::<u8>::new(), "the effect gets time to show");
    assert_eq!(speeds(harness.advance(600)), vec![30]);
    set(&mut harness, 40.0);
    assert_eq!(speeds(harness.advance(600)), Vec::<u8>::new());
    assert_eq!(speeds(harness.advance(1500)), vec![60]);
}

/// Guards against a job that always fails putting a good worker into backoff,
/// and against more starts on a worker on which several jobs have failed in a
/// row.
#[test]
fn a_failing_worker_backs_off_and_a_failing_job_backs_off_no_worker() {
    let mut harness = Harness::new(1, config());
    // A job that cannot succeed fails three times on the only worker.
    harness.submit(1, vec![step(1, 1000, 200)]);
    for _ in 0..3 {
        let actions = harness.advance(40);
        let starts = harness.execute_starts(actions);
        assert_eq!(starts.len(), 1);
        harness.end_attempt(&starts[0], AttemptOutcome::Failed);
        harness.advance(1);
    }
    harness.advance(10);
    let batch = harness.scheduler.next_batch();
    let failed = vg_flow::RecordKind::End(JobOutcome::Failed);
    assert!(batch.records.iter().any(|record| record.kind == failed));
    harness.scheduler.batch_committed(&batch);
    // Two more jobs fail there, three in a row, so the worker is put into
    // backoff.
    harness.submit(2, vec![step(1, 1000, 200)]);
    harness.submit(3, vec![step(1, 1000, 200)]);
    let actions = harness.advance(40);
    let starts = harness.execute_starts(actions);
    assert_eq!(starts.len(), 2);
    starts.iter().for_each(|start| harness.end_attempt(start, AttemptOutcome::Failed));
    harness.advance(1);
    harness.submit(4, vec![step(1, 1000, 200)]);
    let actions = harness.advance(100);
    assert!(harness.execute_starts(actions).is_empty());
    let actions = harness.advance(2100);
    assert_eq!(harness.execute_starts(actions).len(), 3);
}

/// Guards against a task that waits for ever on a worker where it makes no
/// progress.
#[test]
fn a_stalled_attempt_is_stopped_and_restarted_elsewhere() {
    let mut harness = Harness::new(2, config());
    harness.submit(1, vec![step(1, 1000, 500)]);
    let actions = harness.advance(10);
    let starts = harness.execute_starts(actions);
    let (first, first_worker) = (starts[0].clone(), starts[0].incarnation.id.clone());
    assert!(stop_commands(&harness.advance(800)).is_empty());
    let stopped = stop_commands(&harness.advance(1500));
    assert_eq!(stopped, vec![(first.task, first.attempt, StopReason::Stalled)]);
    let now = harness.now;
    harness.scheduler.stop_answered(&first.incarnation, first.task, first.attempt, now);
    harness.end_attempt(&first, AttemptOutcome::Stopped);
    harness.advance(1);
    let actions = harness.advance(100);
    let starts = harness.execute_starts(actions);
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].incarnation.id, first_worker);
    assert!(starts[0].attempt > first.attempt);
}
