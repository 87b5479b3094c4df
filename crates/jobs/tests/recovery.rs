//! Recovery from values that are damaged, missing or of another version.

mod support;

use bytes::Bytes;
use support::bench::{Bench, host, job};
use support::{member, name, spec, tight_limits};
use vg_base::prelude::*;
use vg_jobs::{
    Class, JobSpec, JobState, JournalError, Limits, PAYLOAD_MAX_BYTES, Recovered, RecoveryEvent,
    Report, Resources, Stored, WorkerSpec, recover,
};

fn bench() -> Bench {
    Bench::with_limits(hosts(), Limits { base_segments: 8, ..tight_limits() })
}

fn hosts() -> Vec<WorkerSpec> {
    vec![host(0, Resources::new(8000, 8 << 30, 0))]
}

/// Submits a job of each kind in a batch of its own, and starts the first two.
fn four_jobs() -> Bench {
    let mut bench = bench();
    for (number, idempotent) in [(1, false), (2, true)] {
        bench.submit(number, spec("dairy", Class::Urgent, idempotent, 1000));
        bench.commit();
    }
    bench.run();
    for (number, idempotent) in [(3, false), (4, true)] {
        bench.submit(number, spec("dairy", Class::Urgent, idempotent, 1000));
        bench.commit();
    }
    bench
}

fn read(bench: &Bench) -> Result<Recovered, JournalError> {
    recover(&name("wards"), &member(1), &bench.store.range())
}

fn segments(bench: &Bench) -> Vec<Stored> {
    bench.store.range().into_iter().filter(|stored| stored.key.contains("/log/")).collect()
}

fn replace(bench: &mut Bench, key: &str, value: Vec<u8>) {
    let held = bench.store.values.get_mut(key).unwrap();
    held.0 = Bytes::from(value);
}

#[test]
fn sound_values_give_all_jobs_and_no_event() {
    let recovered = read(&four_jobs()).unwrap();
    assert_eq!(recovered.events, []);
    let states: Vec<JobState> = recovered.jobs.iter().map(|each| each.durable.state).collect();
    assert_eq!(states, [JobState::Placed, JobState::Placed, JobState::Queued, JobState::Queued]);
}

#[test]
fn a_truncated_segment_loses_no_job_of_another() {
    let mut bench = four_jobs();
    let last = segments(&bench).pop().unwrap();
    let cut = last.value.len() - 10;
    replace(&mut bench, &last.key, last.value[..cut].to_vec());
    let recovered = read(&bench).unwrap();
    let ids: Vec<JobId> = recovered.jobs.iter().map(|each| each.job).collect();
    assert_eq!(ids, [job(1), job(2), job(3)]);
    let damaged = |event: &RecoveryEvent| matches!(event, RecoveryEvent::DamagedSegment { .. });
    assert!(recovered.events.iter().any(damaged));
}

#[test]
fn after_a_damaged_segment_nothing_that_may_have_run_runs_again() {
    let mut bench = four_jobs();
    // The third segment says that jobs 1 and 2 were placed.
    let third = segments(&bench)[2].clone();
    replace(&mut bench, &third.key, vec![9; 40]);
    bench.reopen();
    assert_eq!(bench.job(1).state(), JobState::Unknown, "it may have been started");
    assert_eq!(bench.job(2).state(), JobState::Queued, "a second run does no harm");
    assert_eq!(bench.job(3).state(), JobState::Queued, "it was accepted later");
    let starts = bench.run();
    assert!(starts.iter().all(|start| start.task.job != job(1)));
    let second = starts.iter().find(|start| start.task.job == job(2)).unwrap();
    assert!(second.task.attempt.0 > 1, "an attempt's number was given out twice");
}

#[test]
fn values_that_cannot_be_read_are_never_deleted() {
    let mut bench = four_jobs();
    let first = segments(&bench)[0].clone();
    let mut newer = first.value.to_vec();
    newer[0] = 2;
    replace(&mut bench, &first.key, newer.clone());
    bench.store.values.insert("vg/jobs/wards/notes".into(), (Bytes::from_static(b"x"), 1));
    bench.reopen();
    for number in 10..60 {
        bench.submit(number, spec("dairy", Class::Background, true, 1000));
        bench.commit();
    }
    assert!(bench.shard.journal().segments() < 20, "old segments are not cleaned");
    assert_eq!(bench.store.values[&first.key].0, newer);
    assert!(bench.store.values.contains_key("vg/jobs/wards/notes"));
}

#[test]
fn a_missing_segment_is_noticed() {
    let mut bench = four_jobs();
    let third = segments(&bench)[2].clone();
    bench.store.values.remove(&third.key);
    let recovered = read(&bench).unwrap();
    assert!(recovered.events.contains(&RecoveryEvent::SegmentCount { expected: 5, found: 4 }));
    let unresolved: Vec<bool> = recovered.jobs.iter().map(|each| each.unresolved).collect();
    assert_eq!(unresolved, [true; 4]);
}

#[test]
fn an_unreadable_head_is_left_alone() {
    let mut bench = four_jobs();
    replace(&mut bench, "vg/jobs/wards/head", vec![7, 7]);
    assert!(matches!(read(&bench), Err(JournalError::Head { .. })));
    let head = bench.store.head(&name("wards"));
    assert!(vg_jobs::claim(&name("wards"), &member(2), head.as_ref()).is_err());
}

#[test]
fn a_pool_held_by_another_is_not_recovered() {
    let bench = four_jobs();
    let other = recover(&name("wards"), &member(9), &bench.store.range());
    assert!(matches!(other, Err(JournalError::Held { .. })));
}

#[test]
fn an_attempt_without_proof_is_settled_by_its_worker() {
    let mut bench = four_jobs();
    bench.reopen();
    bench.report(job(1), Report::NeverStarted);
    assert_eq!(bench.job(1).state(), JobState::Queued, "it is proved not to have run");
    bench.report(job(2), Report::Exited { exit: 0 });
    assert_eq!(bench.job(2).state(), JobState::Done { exit: 0 });
}

#[test]
fn an_attempt_that_nobody_can_settle_is_unknown_or_runs_again_if_idempotent() {
    let mut bench = four_jobs();
    bench.hosts.clear();
    bench.reopen();
    bench.tick(Duration::from_secs(21));
    assert!(bench.job(1).state().is_live(), "its worker may still run it");
    bench.tick(Duration::from_secs(2));
    assert_eq!(bench.job(1).state(), JobState::Unknown);
    assert_eq!(bench.job(2).state(), JobState::Queued);
}

#[test]
fn a_forgotten_job_stays_forgotten_while_a_segment_still_names_it() {
    let mut bench = Bench::with_limits(hosts(), tight_limits());
    // Too much to copy at once, so this segment outlives the others.
    let large = vec![1; PAYLOAD_MAX_BYTES - 1000].into();
    let large = JobSpec { payload: large, ..spec("dairy", Class::Background, true, 1000) };
    (1..5).for_each(|number| bench.submit(number, large.clone()));
    (5..9).for_each(|number| bench.submit(number, spec("dairy", Class::Urgent, false, 1000)));
    bench.commit();
    (1..4).for_each(|number| bench.submit(10 + number, large.clone()));
    bench.commit();
    let ended: Vec<JobId> = (5..9).map(job).collect();
    bench.shard.cancel(&ended, bench.time.now());
    bench.commit();
    bench.tick(Duration::from_secs(61));
    for number in 100..140 {
        bench.submit(number, spec("dairy", Class::Background, true, 1000));
        bench.commit();
        bench.reopen();
        assert!(ended.iter().all(|&id| bench.shard.job(id).is_none()), "a job came back");
    }
    assert_eq!(bench.shard.jobs().count(), 47);
}

#[test]
fn an_end_survives_the_cleaning_of_its_segments() {
    let mut bench = four_jobs();
    bench.report(job(1), Report::Exited { exit: 0 });
    bench.commit();
    for number in 10..80 {
        bench.submit(number, spec("dairy", Class::Background, true, 1000));
        bench.commit();
    }
    bench.reopen();
    assert_eq!(bench.job(1).visible_state(), Some(JobState::Done { exit: 0 }));
    bench.tick(Duration::from_secs(61));
    bench.commit();
    assert!(bench.shard.job(job(1)).is_none(), "its retention period has passed");
    for number in 100..180 {
        bench.submit(number, spec("dairy", Class::Background, true, 1000));
        bench.commit();
        bench.reopen();
        assert!(bench.shard.job(job(1)).is_none(), "a forgotten job came back");
    }
}
