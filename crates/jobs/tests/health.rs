//! Bad workers are told from bad jobs.

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

fn of(team: &str) -> JobSpec {
    spec(team, Class::Background, true, 500)
}

/// Runs all waiting jobs; those that `fails` names exit with 1.
fn turn(bench: &mut Bench, fails: impl Fn(JobId, &str) -> bool) {
    for start in bench.run() {
        let (id, worker) = (start.task.job, start.task.instance.worker.clone());
        let exit = i32::from(fails(id, worker.as_str()));
        bench.report(id, Report::Exited { exit });
    }
    bench.commit();
}

#[test]
fn a_worker_that_fails_unlike_jobs_is_quarantined_and_its_jobs_end_well() {
    let mut bench = bench(6);
    for number in 0..40 {
        bench.submit(number, of(["dairy", "bakery", "meat"][number as usize % 3]));
    }
    for _ in 0..8 {
        turn(&mut bench, |_, worker| worker == "w1");
    }
    assert_eq!(bench.shard.quarantined_workers(), [name("w1")]);
    let ended = bench.shard.jobs().filter(|job| job.state() == JobState::Done { exit: 0 });
    assert_eq!(ended.count(), 40);
}

#[test]
fn a_quarantined_worker_is_probed_one_job_at_a_time_and_restored() {
    let mut bench = bench(1);
    (0..6).for_each(|number| bench.submit(number, of(["dairy", "bakery"][number as usize % 2])));
    turn(&mut bench, |_, _| true);
    assert_eq!(bench.shard.quarantined_workers().len(), 1);
    assert!(bench.run().is_empty(), "a quarantined worker got work");
    bench.time.advance(Duration::from_secs(61));
    bench.beat();
    let probes = bench.run();
    assert_eq!(probes.len(), 1);
    bench.report(probes[0].task.job, Report::Exited { exit: 0 });
    turn(&mut bench, |_, _| false);
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
    assert!(bench.actions.contains(&Action::WorkerRestored { worker: name("w0") }));
    assert!(bench.run().len() > 1);
}

#[test]
fn jobs_that_cannot_be_repeated_are_not_probes() {
    let mut bench = bench(1);
    (0..6).for_each(|number| bench.submit(number, of(["dairy", "bakery"][number as usize % 2])));
    turn(&mut bench, |_, _| true);
    bench.time.advance(Duration::from_secs(61));
    bench.beat();
    (0..6).for_each(|number| {
        bench.shard.cancel(&[job(number)], bench.time.now());
    });
    bench.submit(9, JobSpec { idempotent: false, ..of("dairy") });
    assert!(bench.run().is_empty());
}

#[test]
fn a_queue_whose_jobs_fail_everywhere_quarantines_nobody() {
    let mut bench = bench(6);
    for number in 0..60 {
        let team = if number % 2 == 0 { "dairy" } else { "bakery" };
        bench.submit(number, of(team));
        turn(&mut bench, |id, _| id.value() % 2 == 0);
    }
    for _ in 0..4 {
        turn(&mut bench, |id, _| id.value() % 2 == 0);
    }
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
}

#[test]
fn a_bad_job_stops_after_its_attempts() {
    let mut bench = bench(4);
    bench.submit(1, of("dairy"));
    for _ in 0..10 {
        turn(&mut bench, |_, _| true);
    }
    let cause = FailureCause::Exit(1);
    assert_eq!(bench.job(1).state(), JobState::Failed { cause });
    assert_eq!(bench.job(1).attempt().0, 3);
}

#[test]
fn a_job_that_is_not_idempotent_fails_once_and_for_good() {
    let mut bench = bench(4);
    bench.submit(1, JobSpec { idempotent: false, ..of("dairy") });
    turn(&mut bench, |_, _| true);
    turn(&mut bench, |_, _| true);
    assert_eq!(bench.job(1).attempt().0, 1);
    assert_eq!(bench.job(1).state(), JobState::Failed { cause: FailureCause::Exit(1) });
}

#[test]
fn a_failed_start_is_tried_elsewhere_also_for_jobs_that_run_once() {
    let mut bench = bench(2);
    bench.submit(1, JobSpec { idempotent: false, ..of("dairy") });
    bench.place();
    bench.commit();
    let first = bench.current(job(1)).0;
    bench.report(job(1), Report::StartFailed);
    let starts = bench.run();
    assert_ne!(starts[0].task.instance, first);
}

#[test]
fn a_report_of_an_earlier_attempt_changes_nothing() {
    let mut bench = bench(2);
    bench.submit(1, of("dairy"));
    bench.run();
    let (instance, attempt) = bench.current(job(1));
    bench.report(job(1), Report::Exited { exit: 1 });
    bench.run();
    let now = bench.time.now();
    let late = bench.shard.report(&instance, job(1), attempt, Report::Exited { exit: 0 }, now);
    assert_eq!(late, Err(ReportError::StaleAttempt { attempt }));
    assert_eq!(bench.job(1).state(), JobState::Running);
    bench.report(job(1), Report::Exited { exit: 0 });
    let (instance, attempt) = bench.current(job(1));
    let again = bench.shard.report(&instance, job(1), attempt, Report::Exited { exit: 1 }, now);
    assert_eq!(again, Err(ReportError::Finished));
    let none = bench.shard.report(&instance, job(2), attempt, Report::Running, now);
    assert_eq!(none, Err(ReportError::UnknownJob));
}

#[test]
fn a_start_that_a_slow_store_held_back_is_not_sent() {
    let mut bench = bench(1);
    bench.submit(1, JobSpec { idempotent: false, ..of("dairy") });
    bench.place();
    bench.time.advance(Duration::from_secs(6));
    bench.commit();
    assert!(!bench.actions.iter().any(|action| matches!(action, Action::Start(_))));
    assert_eq!(bench.job(1).state(), JobState::Queued);
    assert_eq!(bench.run()[0].task.attempt.0, 2);
}

#[test]
fn a_worker_without_room_is_left_alone_for_a_while_and_blamed_for_nothing() {
    let mut bench = bench(1);
    for team in ["dairy", "bakery", "meat", "grocery"] {
        bench.submit(team.len() as u128, of(team));
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
        assert_eq!(bench.place().placed, 0, "the worker got more at once");
        bench.tick(Duration::from_secs(1));
        bench.beat();
    }
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
    assert!(!bench.run().is_empty(), "the jobs are given up");
}

#[test]
fn a_cancelled_job_whose_start_was_lost_does_not_hang_on_its_stop() {
    let mut bench = bench(1);
    bench.submit(1, of("dairy"));
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

#[test]
fn a_job_that_was_stopped_half_way_is_unknown_unless_it_may_repeat() {
    for (idempotent, state) in [(true, JobState::Queued), (false, JobState::Unknown)] {
        let mut bench = bench(1);
        bench.submit(1, JobSpec { idempotent, ..of("dairy") });
        bench.run();
        bench.report(job(1), Report::Stopped { checkpoint: None });
        assert_eq!(bench.job(1).state(), state);
    }
}

#[test]
fn an_ended_job_takes_no_step() {
    let ends = [JobState::Cancelled, JobState::Unknown, JobState::Done { exit: 0 }];
    for from in ends {
        for to in [JobState::Queued, JobState::Placed, JobState::Running, JobState::Cancelled] {
            assert_eq!(from.transition(to), Err(TransitionError { from, to }));
        }
    }
    assert!(JobState::Queued.transition(JobState::Running).is_err());
    assert!(JobState::Queued.transition(JobState::Placed).is_ok());
}

#[test]
fn a_start_without_an_answer_is_asked_about_and_never_sent_again() {
    let mut bench = bench(1);
    bench.submit(1, of("dairy"));
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

#[test]
fn failures_of_one_queue_of_one_team_do_not_condemn_a_worker() {
    let mut bench = bench(1);
    (0..4).for_each(|number| bench.submit(number, of("dairy")));
    turn(&mut bench, |_, _| true);
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
}

#[test]
fn two_queues_that_fail_everywhere_quarantine_nobody() {
    let mut bench = bench(4);
    for (number, team) in (0..8).zip(["dairy", "bakery"].into_iter().cycle()) {
        bench.submit(number, of(team));
        for _ in 0..4 {
            turn(&mut bench, |_, _| true);
        }
    }
    assert_eq!(bench.shard.quarantined_workers(), Vec::<HostId>::new());
}
