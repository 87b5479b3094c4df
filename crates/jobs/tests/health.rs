//! Failing workers are distinguished from failing jobs.

mod support;

use support::bench::{Bench, host, job};
use support::{name, spec};
use vg_base::prelude::*;
use vg_jobs::{
    Action, Class, FailureCause, JobSpec, JobState, Report, ReportError, Resources, TransitionError,
};

fn bench(workers: usize) -> Bench {
    Bench::new((0..workers).map(|at| host(at, Resources::new(4000, 8 << 30, 0))).collect())
}

fn background_job(team: &str) -> JobSpec {
    spec(team, Class::Background, true, 500)
}

/// Runs all waiting jobs. Those for which `fails` returns `true` exit with 1, the
/// others with 0.
fn run_and_exit(bench: &mut Bench, fails: impl Fn(JobId, &str) -> bool) {
    for start in bench.run() {
        let (id, worker) = (start.task.job, start.task.instance.worker.clone());
        let exit = i32::from(fails(id, worker.as_str()));
        bench.report(id, Report::Exited { exit });
    }
    bench.commit();
}

/// A broken worker fails every job that it gets. Without a quarantine it would keep
/// getting jobs and use up their attempts. Its jobs have to succeed on other
/// workers.
#[test]
fn a_worker_that_fails_jobs_of_several_lanes_is_quarantined() {
    let mut bench = bench(6);
    for number in 0..40 {
        bench.submit(number, background_job(["dairy", "bakery", "meat"][number as usize % 3]));
    }
    for _ in 0..8 {
        run_and_exit(&mut bench, |_, worker| worker == "w1");
    }
    assert_eq!(bench.shard.quarantined_workers(), [name("w1")]);
    let ended = bench.shard.jobs().filter(|job| job.state() == JobState::Done { exit: 0 });
    assert_eq!(ended.count(), 40);
}

/// A worker that has recovered must get back into use, but a worker that is still
/// broken must not fail many jobs at the end of its quarantine.
#[test]
fn a_quarantined_worker_is_probed_one_job_at_a_time_and_restored() {
    let mut bench = bench(1);
    (0..6).for_each(|number| {
        bench.submit(number, background_job(["dairy", "bakery"][number as usize % 2]))
    });
    run_and_exit(&mut bench, |_, _| true);
    assert_eq!(bench.shard.quarantined_workers().len(), 1);
    assert!(bench.run().is_empty(), "a quarantined worker got a job");
    bench.time.advance(Duration::from_secs(61));
    bench.heartbeat_all();
    let probes = bench.run();
    assert_eq!(probes.len(), 1);
    bench.report(probes[0].task.job, Report::Exited { exit: 0 });
    run_and_exit(&mut bench, |_, _| false);
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
    assert!(bench.actions.contains(&Action::WorkerRestored { worker: name("w0") }));
    assert!(bench.run().len() > 1);
}

/// A probe is likely to fail, and a job that is not idempotent is not retried after a
/// failure. Such a job must not be started on a worker that is being probed.
#[test]
fn jobs_that_are_not_idempotent_are_not_used_as_probes() {
    let mut bench = bench(1);
    (0..6).for_each(|number| {
        bench.submit(number, background_job(["dairy", "bakery"][number as usize % 2]))
    });
    run_and_exit(&mut bench, |_, _| true);
    bench.time.advance(Duration::from_secs(61));
    bench.heartbeat_all();
    (0..6).for_each(|number| {
        bench.shard.cancel(&[job(number)], bench.time.now());
    });
    bench.submit(9, JobSpec { idempotent: false, ..background_job("dairy") });
    assert!(bench.run().is_empty());
}

/// All jobs of one lane fail on every worker, for a reason of their own. If their
/// failures counted against the workers, one bad client could quarantine a whole
/// pool.
#[test]
fn a_queue_whose_jobs_fail_everywhere_quarantines_no_worker() {
    let mut bench = bench(6);
    for number in 0..60 {
        let team = if number % 2 == 0 { "dairy" } else { "bakery" };
        bench.submit(number, background_job(team));
        run_and_exit(&mut bench, |id, _| id.value() % 2 == 0);
    }
    for _ in 0..4 {
        run_and_exit(&mut bench, |id, _| id.value() % 2 == 0);
    }
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
}

/// A job that always fails must not be retried forever.
#[test]
fn a_failing_job_stops_after_its_attempts() {
    let mut bench = bench(4);
    bench.submit(1, background_job("dairy"));
    for _ in 0..10 {
        run_and_exit(&mut bench, |_, _| true);
    }
    let cause = FailureCause::Exit(1);
    assert_eq!(bench.job(1).state(), JobState::Failed { cause });
    assert_eq!(bench.job(1).attempt().0, 3);
}

/// A job that is not idempotent has run when it fails, so a retry could do its work
/// twice.
#[test]
fn a_job_that_is_not_idempotent_fails_once_and_for_good() {
    let mut bench = bench(4);
    bench.submit(1, JobSpec { idempotent: false, ..background_job("dairy") });
    run_and_exit(&mut bench, |_, _| true);
    run_and_exit(&mut bench, |_, _| true);
    assert_eq!(bench.job(1).attempt().0, 1);
    assert_eq!(bench.job(1).state(), JobState::Failed { cause: FailureCause::Exit(1) });
}

/// A start that failed has run nothing, so even a job that is not idempotent may be
/// retried. It must not go back to the worker where the start failed.
#[test]
fn a_failed_start_is_retried_elsewhere_even_if_not_idempotent() {
    let mut bench = bench(2);
    bench.submit(1, JobSpec { idempotent: false, ..background_job("dairy") });
    bench.place();
    bench.commit();
    let first = bench.current(job(1)).0;
    bench.report(job(1), Report::StartFailed);
    let starts = bench.run();
    assert_ne!(starts[0].task.instance, first);
}

/// Reports may arrive late, after the job was started again or has finished. They
/// must neither end the new attempt nor change the result.
#[test]
fn a_report_of_an_earlier_attempt_changes_nothing() {
    let mut bench = bench(2);
    bench.submit(1, background_job("dairy"));
    bench.run();
    let (instance, attempt) = bench.current(job(1));
    bench.report(job(1), Report::Exited { exit: 1 });
    bench.run();
    let now = bench.time.now();
    let stale = bench.shard.report(&instance, job(1), attempt, Report::Exited { exit: 0 }, now);
    assert_eq!(stale, Err(ReportError::StaleAttempt { attempt }));
    assert_eq!(bench.job(1).state(), JobState::Running);
    bench.report(job(1), Report::Exited { exit: 0 });
    let (instance, attempt) = bench.current(job(1));
    let again = bench.shard.report(&instance, job(1), attempt, Report::Exited { exit: 1 }, now);
    assert_eq!(again, Err(ReportError::Finished));
    let unknown = bench.shard.report(&instance, job(2), attempt, Report::Running, now);
    assert_eq!(unknown, Err(ReportError::UnknownJob));
}

/// The store takes longer for the placement than the start is valid. A worker would
/// reject the start, so the job has to be placed again as a new attempt.
#[test]
fn a_start_delayed_by_a_slow_store_is_not_sent() {
    let mut bench = bench(1);
    bench.submit(1, JobSpec { idempotent: false, ..background_job("dairy") });
    bench.place();
    bench.time.advance(Duration::from_secs(6));
    bench.commit();
    assert!(!bench.actions.iter().any(|action| matches!(action, Action::Start(_))));
    assert_eq!(bench.job(1).state(), JobState::Queued);
    assert_eq!(bench.run()[0].task.attempt.0, 2);
}

/// A worker counts its resources differently from the owner and can't start the
/// tasks. Without a pause it would be sent jobs all the time; with failures counted
/// it would be quarantined and the jobs would fail.
#[test]
fn a_worker_with_insufficient_capacity_gets_a_pause_and_no_quarantine() {
    let mut bench = bench(1);
    for team in ["dairy", "bakery", "meat", "grocery"] {
        bench.submit(team.len() as u128, background_job(team));
    }
    for _ in 0..10 {
        bench.place();
        bench.commit();
        let placed: Vec<JobId> = (4..8).map(job).collect();
        for id in placed {
            if bench.shard.job(id).is_some_and(|job| job.state() == JobState::Starting) {
                bench.report(id, Report::InsufficientCapacity);
            }
        }
        assert_eq!(bench.place().placed, 0, "the worker got jobs during its pause");
        bench.tick(Duration::from_secs(1));
        bench.heartbeat_all();
    }
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
    assert!(!bench.run().is_empty(), "the jobs are never placed again");
}

/// The start of a job is lost, and the job is cancelled. Its worker does not know
/// the attempt and can't stop it, so stops alone would never end the job.
#[test]
fn a_cancelled_job_whose_start_was_lost_is_resolved_by_a_query() {
    let mut bench = bench(1);
    bench.submit(1, background_job("dairy"));
    bench.place();
    bench.commit();
    bench.shard.cancel(&[job(1)], bench.time.now());
    bench.commit();
    bench.actions.clear();
    for _ in 0..3 {
        bench.tick(Duration::from_secs(1));
    }
    assert!(bench.actions.iter().any(|action| matches!(action, Action::Stop(_))));
    assert!(bench.actions.iter().any(|action| matches!(action, Action::Query(_))));
    bench.report(job(1), Report::NeverStarted);
    assert_eq!(bench.job(1).state(), JobState::Cancelled);
}

/// A job was stopped without a checkpoint and has run in part. Starting it again
/// would repeat work that may not be repeated.
#[test]
fn a_job_stopped_without_a_checkpoint_is_unknown_unless_idempotent() {
    for (idempotent, state) in [(true, JobState::Queued), (false, JobState::Unknown)] {
        let mut bench = bench(1);
        bench.submit(1, JobSpec { idempotent, ..background_job("dairy") });
        bench.run();
        bench.report(job(1), Report::Stopped { checkpoint: None });
        assert_eq!(bench.job(1).state(), state);
    }
}

/// A finished job must keep its result, and a job must not skip the durable
/// placement before it runs.
#[test]
fn a_finished_job_has_no_transition() {
    let ends = [JobState::Cancelled, JobState::Unknown, JobState::Done { exit: 0 }];
    for from in ends {
        for to in [JobState::Queued, JobState::Placed, JobState::Running, JobState::Cancelled] {
            assert_eq!(from.transition(to), Err(TransitionError { from, to }));
        }
    }
    assert!(JobState::Queued.transition(JobState::Running).is_err());
    assert!(JobState::Queued.transition(JobState::Placed).is_ok());
}

/// The answer to a start is lost. A second copy of the start could run the job
/// twice, so the worker is queried instead.
#[test]
fn an_unanswered_start_is_queried_and_never_sent_again() {
    let mut bench = bench(1);
    bench.submit(1, background_job("dairy"));
    bench.place();
    bench.commit();
    bench.actions.clear();
    for _ in 0..6 {
        bench.tick(Duration::from_secs(1));
    }
    assert!(!bench.actions.iter().any(|action| matches!(action, Action::Start(_))));
    assert!(bench.actions.iter().any(|action| matches!(action, Action::Query(_))));
    bench.report(job(1), Report::UnknownAttempt);
    assert_eq!(bench.job(1).state(), JobState::Queued);
}

/// All failures on a worker come from one lane. They may be caused by the jobs of
/// this lane, so they are no evidence against the worker.
#[test]
fn failures_of_a_single_lane_do_not_quarantine_a_worker() {
    let mut bench = bench(1);
    (0..4).for_each(|number| bench.submit(number, background_job("dairy")));
    run_and_exit(&mut bench, |_, _| true);
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
}

/// Two lanes fail on every worker. The failures on a worker then come from
/// different lanes, but are still caused by the jobs.
#[test]
fn two_lanes_that_fail_everywhere_quarantine_no_worker() {
    let mut bench = bench(4);
    for (number, team) in (0..8).zip(["dairy", "bakery"].into_iter().cycle()) {
        bench.submit(number, background_job(team));
        for _ in 0..4 {
            run_and_exit(&mut bench, |_, _| true);
        }
    }
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
}
