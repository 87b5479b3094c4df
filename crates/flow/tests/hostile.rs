//! Jobs and reports that would end each host that leads: too large for its memory, or with
//! times that can't be represented.

mod support;

use std::sync::Arc;

use support::spec::{job, step};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{
    AttemptNumber, JobSpec, Report, RunningAttempt, Schedule, SpecError, StepId, StepSpec, TaskId,
};

const YEAR: Duration = Duration::from_secs(365 * 24 * 3600);

fn repeated(first: SystemTime, interval: Duration, times: u32) -> JobSpec {
    let spec = job("q-a", vec![step(1, 1000, 100)], SystemTime::UNIX_EPOCH);
    let schedule = Some(Schedule { first, interval, times });
    JobSpec { schedule, ..Arc::unwrap_or_clone(spec) }
}

/// Guards against a job whose tasks need more memory than a leader has: each host that
/// takes over loads it again.
#[test]
fn a_job_with_too_many_tasks_in_all_is_rejected() {
    let steps = vec![step(10_000, 1, 1); 1000];
    let spec = job("q-a", steps, SystemTime::UNIX_EPOCH);
    assert_eq!(spec.validate(), Err(SpecError::JobTasks));
    let spec = job("q-a", vec![step(5_000, 1, 1); 2], SystemTime::UNIX_EPOCH);
    assert_eq!(spec.validate(), Ok(()));
}

/// Guards against estimates whose sum along a chain overflows.
#[test]
fn a_job_with_an_excessive_estimate_is_rejected() {
    let long = StepSpec { estimate: Duration::from_secs(1 << 63), ..step(1, 1, 1) };
    let after = StepSpec { after: vec![0], ..long.clone() };
    let spec = job("q-a", vec![long, after], SystemTime::UNIX_EPOCH);
    assert_eq!(spec.validate(), Err(SpecError::Estimate));
}

/// Guards against times of occurrences that overflow while the leader decides.
#[test]
fn a_job_whose_last_run_can_not_be_represented_is_rejected() {
    let epoch = SystemTime::UNIX_EPOCH;
    let spec = repeated(epoch + YEAR, Duration::from_secs(u64::MAX / 2), 3);
    assert_eq!(spec.validate(), Err(SpecError::Schedule));
    let spec = repeated(epoch + 20_000 * YEAR, Duration::ZERO, 1);
    assert_eq!(spec.validate(), Err(SpecError::Schedule));
    assert_eq!(repeated(epoch + 50 * YEAR, YEAR, 100).validate(), Ok(()));
}

/// Guards against a job of which millions of occurrences are due at once: all of them
/// would be opened in one round.
#[test]
fn occurrences_that_are_all_due_open_a_few_at_a_time() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(300);
    let spec = repeated(SystemTime::UNIX_EPOCH, Duration::ZERO, 50_000_000);
    assert_eq!(spec.validate(), Ok(()));
    let id = world.submit(1, Arc::new(spec));
    world.run(2000);
    assert!(world.starts > 200, "{} starts", world.starts);
    let progress = world.store[&id].progress.clone().unwrap();
    assert!(progress.closed > 0);
    assert!(progress.occurrences.len() <= 1000, "{}", progress.occurrences.len());
}

/// Guards against a report that names an occurrence far ahead: all before it would be
/// opened.
#[test]
fn a_report_of_a_distant_occurrence_opens_few() {
    let mut world = World::new(2, 8, Faults::default());
    world.run(300);
    let spec = repeated(SystemTime::UNIX_EPOCH + 20 * YEAR, YEAR, 3_000);
    let id = world.submit(1, Arc::new(spec));
    let step = StepId { job: id, occurrence: 2_999, step: 0 };
    let running = vec![RunningAttempt {
        task: TaskId { step, index: 0 },
        attempt: AttemptNumber(1),
        checkpoint: "x".repeat(100_000).into(),
        percent: 1,
        gauge: 0.0,
    }];
    let (now, worker) = (world.now(), world.workers[0].id.parse().unwrap());
    let report = Report { start_ms: Some(0), clock_ms: world.ms, running, ended: Vec::new() };
    world.scheduler.apply_report(&worker, &report, now, now);
    world.run(300);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a report of a task that its job does not have, which would end each host
/// that leads.
#[test]
fn a_report_of_a_task_that_its_job_does_not_have_is_harmless() {
    let mut world = World::new(2, 8, Faults::default());
    world.run(300);
    let wall = world.wall();
    let id = world.submit(1, job("q-a", vec![step(2, 1000, 3000)], wall));
    let reported = |step, index| RunningAttempt {
        task: TaskId { step: StepId { job: id, occurrence: 0, step }, index },
        attempt: AttemptNumber(1),
        checkpoint: SmolStr::default(),
        percent: 1,
        gauge: 0.0,
    };
    let running = vec![reported(0, 2), reported(0, u32::MAX), reported(7, 0)];
    let (now, worker) = (world.now(), world.workers[0].id.parse().unwrap());
    let report = Report { start_ms: Some(0), clock_ms: world.ms, running, ended: Vec::new() };
    world.scheduler.apply_report(&worker, &report, now, now);
    assert_eq!(world.scheduler.attempts_on(&worker), 3);
    // The worker does not list them any more.
    world.run(5000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.open_jobs(), 0);
    assert_eq!(world.scheduler.attempts_on(&worker), 0);
}
