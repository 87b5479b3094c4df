//! What of an ended attempt must be durable before its worker may forget the end.

mod support;

use std::sync::Arc;

use support::spec::{config, job, pool, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, AttemptOutcome, CommitBatch, EndedAttempt, FencingToken, JobSpec, RecordKind, Report,
    Scheduler, SchedulingRules, StartAnswer, StartCommand, StepSpec, WorkerIncarnation,
    WorkerRegistration,
};
use vg_jobs::Resources;

/// Start of the worker, in milliseconds.
const START_MS: u64 = 1;
/// A worker's clock at a poll, in milliseconds.
const CLOCK_MS: u64 = 1000;

/// A leader of one worker, on which a task runs.
struct RunningTask {
    scheduler: Scheduler,
    now: Instant,
    start: StartCommand,
}

impl RunningTask {
    fn new(id: u128) -> RunningTask {
        let mut now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(5000);
        let rules = SchedulingRules::default();
        let mut scheduler = Scheduler::new(rules, FencingToken(3), Arc::new(config()), now);
        scheduler.register(&registration(), now);
        let records = scheduler.incarnation_records(now);
        scheduler.records_written(&records, scheduler.token());
        for _ in 0..2 {
            let sent = now;
            now += Duration::from_millis(10);
            scheduler.renewal(&worker(), sent);
            scheduler.apply_report(&worker(), &report(Vec::new()), sent, now);
        }
        let steps = vec![StepSpec { checkpoint: true, ..step(1, 4000, 500) }];
        let spec = JobSpec { team: None, ..JobSpec::clone(&job("q-a", steps, wall)) };
        scheduler.add_job(JobId::new(id), Arc::new(spec), 100, now);
        let starts = scheduler.plan(now, wall).into_iter().find_map(|action| match action {
            Action::Start(start) => Some(start),
            _ => None,
        });
        let start = starts.unwrap();
        scheduler.start_answered(start.task, start.attempt, StartAnswer::Started, now);
        RunningTask { scheduler, now, start }
    }

    /// Lets the worker report that the attempt has ended. Returns what is to become durable
    /// before the worker may forget it.
    fn end(&mut self, outcome: AttemptOutcome, checkpoint: &str) -> CommitBatch {
        let (task, attempt) = (self.start.task, self.start.attempt);
        let checkpoint = SmolStr::from(checkpoint);
        let ended = EndedAttempt { number: 1, task, attempt, outcome, checkpoint };
        self.now += Duration::from_millis(100);
        let sent = self.now - Duration::from_millis(1);
        self.scheduler.apply_report(&worker(), &report(vec![ended]), sent, self.now);
        assert_eq!(self.acknowledged(), 0, "acknowledged before anything was written");
        self.scheduler.next_batch()
    }

    fn acknowledged(&mut self) -> u64 {
        self.scheduler.renewal(&worker(), self.now).unwrap().acknowledged
    }
}

fn worker() -> HostId {
    "w0".parse().unwrap()
}

fn registration() -> WorkerRegistration {
    WorkerRegistration {
        incarnation: WorkerIncarnation {
            id: worker(),
            start_ms: START_MS,
            pool: pool("a"),
            addr: ([127, 0, 0, 1], 1).into(),
        },
        zone: "z".parse().unwrap(),
        draining: false,
        capacity: Resources::new(16_000, 32 << 30, 0),
        labels: Vec::new(),
        machine: None,
        cold_left: Duration::ZERO,
    }
}

fn report(ended: Vec<EndedAttempt>) -> Report {
    Report { start_ms: Some(START_MS), clock_ms: CLOCK_MS, running: Vec::new(), ended }
}

/// Returns the checkpoints in the records of a batch.
fn checkpoints(batch: &CommitBatch) -> Vec<SmolStr> {
    let progress = batch.records.iter().filter_map(|record| match &record.kind {
        RecordKind::Progress(progress) => Some(progress),
        RecordKind::End(_) => None,
    });
    let occurrences = progress.flat_map(|progress| &progress.occurrences);
    let saved = occurrences.flat_map(|occurrence| &occurrence.checkpoints);
    saved.map(|(_, _, checkpoint)| checkpoint.clone()).collect()
}

/// Guards against work that is lost with the leader: a task was stopped and its worker told
/// to forget the end, while its checkpoint was in the leader's memory alone.
#[test]
fn the_checkpoint_of_each_end_is_written_before_the_end_is_acknowledged() {
    let outcomes = [
        AttemptOutcome::Failed,
        AttemptOutcome::Stopped,
        AttemptOutcome::LeaseExpired,
        AttemptOutcome::GangBroken,
        AttemptOutcome::GangIncomplete,
    ];
    for outcome in outcomes {
        let mut running = RunningTask::new(1);
        let batch = running.end(outcome, "c7");
        assert_eq!(checkpoints(&batch), ["c7"], "{outcome}");
        running.scheduler.batch_committed(&batch);
        assert_eq!(running.acknowledged(), 1, "{outcome}");
    }
}

/// Guards against a write for each of many tasks that are stopped with nothing to keep.
#[test]
fn an_end_that_leaves_nothing_to_keep_needs_no_write() {
    let mut running = RunningTask::new(1);
    let batch = running.end(AttemptOutcome::Stopped, "");
    assert!(batch.records.is_empty(), "{:?}", batch.records);
    running.scheduler.batch_committed(&batch);
    assert_eq!(running.acknowledged(), 1);
}
