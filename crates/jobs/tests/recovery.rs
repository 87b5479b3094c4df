//! Recovery from values that are damaged, missing or of an unknown version.

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

/// Submits four jobs, each in a batch of its own: two that are not idempotent and
/// two that are. Jobs 1 and 2 are started before jobs 3 and 4 are submitted.
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

fn recover_store(bench: &Bench) -> Result<Recovered, JournalError> {
    recover(&name("wards"), &member(1), &bench.store.range())
}

fn segments(bench: &Bench) -> Vec<Stored> {
    bench.store.range().into_iter().filter(|stored| stored.key.contains("/log/")).collect()
}

fn replace(bench: &mut Bench, key: &str, value: Vec<u8>) {
    let stored = bench.store.values.get_mut(key).unwrap();
    stored.0 = Bytes::from(value);
}

/// A takeover of an undamaged journal must recover every job in its durable state,
/// in the order of acceptance, and report no problem.
#[test]
fn undamaged_values_recover_all_jobs_without_events() {
    let recovered = recover_store(&four_jobs()).unwrap();
    assert_eq!(recovered.events, []);
    let states: Vec<JobState> = recovered.jobs.iter().map(|each| each.durable.state).collect();
    assert_eq!(states, [JobState::Placed, JobState::Placed, JobState::Queued, JobState::Queued]);
}

/// A truncated segment must be reported, and jobs in other segments must be
/// recovered.
#[test]
fn a_truncated_segment_loses_no_job_of_another() {
    let mut bench = four_jobs();
    let last = segments(&bench).pop().unwrap();
    let cut = last.value.len() - 10;
    replace(&mut bench, &last.key, last.value[..cut].to_vec());
    let recovered = recover_store(&bench).unwrap();
    let ids: Vec<JobId> = recovered.jobs.iter().map(|each| each.job).collect();
    assert_eq!(ids, [job(1), job(2), job(3)]);
    let damaged = |event: &RecoveryEvent| matches!(event, RecoveryEvent::DamagedSegment { .. });
    assert!(recovered.events.iter().any(damaged));
}

/// The segment that records the placement of two jobs is unreadable, so the next
/// owner sees them as queued. The job that is not idempotent must not run again,
/// and the other must not reuse an attempt number.
#[test]
fn after_a_damaged_segment_nothing_that_may_have_run_runs_again() {
    let mut bench = four_jobs();
    // The third segment records that jobs 1 and 2 were placed.
    let third = segments(&bench)[2].clone();
    replace(&mut bench, &third.key, vec![9; 40]);
    bench.reopen();
    assert_eq!(bench.job(1).state(), JobState::Unknown, "it may have been started");
    assert_eq!(bench.job(2).state(), JobState::Queued, "a second run does no harm");
    assert_eq!(bench.job(3).state(), JobState::Queued, "it was accepted later");
    let starts = bench.run();
    assert!(starts.iter().all(|start| start.task.job != job(1)));
    let second = starts.iter().find(|start| start.task.job == job(2)).unwrap();
    assert!(second.task.attempt.0 > 1, "an attempt number was used twice");
}

/// A segment of a newer version and an unknown key are in the store. Compaction
/// must not delete them, and must still work for other segments.
#[test]
fn unreadable_values_are_never_deleted() {
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
    assert!(bench.shard.journal().segments() < 20, "old segments are not compacted");
    assert_eq!(bench.store.values[&first.key].0, newer);
    assert!(bench.store.values.contains_key("vg/jobs/wards/notes"));
}

/// A segment was deleted. Without a check against the head nobody would notice that
/// records are lost.
#[test]
fn a_missing_segment_is_noticed() {
    let mut bench = four_jobs();
    let third = segments(&bench)[2].clone();
    bench.store.values.remove(&third.key);
    let recovered = recover_store(&bench).unwrap();
    assert!(recovered.events.contains(&RecoveryEvent::SegmentCount { expected: 5, found: 4 }));
    let unresolved: Vec<bool> = recovered.jobs.iter().map(|each| each.unresolved).collect();
    assert_eq!(unresolved, [true; 4]);
}

/// The head is damaged or of another version. Overwriting it would destroy the only
/// record of the owner and of the end of the log.
#[test]
fn an_unreadable_head_is_left_unchanged() {
    let mut bench = four_jobs();
    replace(&mut bench, "vg/jobs/wards/head", vec![7, 7]);
    assert!(matches!(recover_store(&bench), Err(JournalError::Head { .. })));
    let head = bench.store.head(&name("wards"));
    assert!(vg_jobs::claim(&name("wards"), &member(2), head.as_ref()).is_err());
}

/// A member whose claim has failed, or was followed by another one, must not use
/// the pool.
#[test]
fn a_pool_owned_by_another_member_is_not_recovered() {
    let bench = four_jobs();
    let other = recover(&name("wards"), &member(9), &bench.store.range());
    assert!(matches!(other, Err(JournalError::Held { .. })));
}

/// After a takeover it is not known how far attempts of the previous owner came.
/// The reports of their workers have to decide, also for a job that is not
/// idempotent.
#[test]
fn an_attempt_of_the_previous_owner_is_resolved_by_its_worker() {
    let mut bench = four_jobs();
    bench.reopen();
    bench.report(job(1), Report::NeverStarted);
    assert_eq!(bench.job(1).state(), JobState::Queued, "its worker proved that it did not run");
    bench.report(job(2), Report::Exited { exit: 0 });
    assert_eq!(bench.job(2).state(), JobState::Done { exit: 0 });
}

/// The worker of an attempt never reports after a takeover. The attempt may still
/// run until the lease and the margin have passed; after that a job that is not
/// idempotent must not run again.
#[test]
fn an_attempt_on_a_lost_worker_is_unknown_unless_idempotent() {
    let mut bench = four_jobs();
    bench.hosts.clear();
    bench.reopen();
    bench.tick(Duration::from_secs(21));
    assert!(bench.job(1).state().is_live(), "its worker may still run it");
    bench.tick(Duration::from_secs(2));
    assert_eq!(bench.job(1).state(), JobState::Unknown);
    assert_eq!(bench.job(2).state(), JobState::Queued);
}

/// A segment that is too large to compact still holds records of purged jobs. If
/// their tombstones were dropped, the jobs would come back at the next takeover.
#[test]
fn a_purged_job_stays_purged_while_a_segment_holds_its_record() {
    let mut bench = Bench::with_limits(hosts(), tight_limits());
    // These records are too large to copy in one batch, so this segment outlives
    // the others.
    let large = vec![1; PAYLOAD_MAX_BYTES - 1000].into();
    let large = JobSpec { payload: large, ..spec("dairy", Class::Background, true, 1000) };
    (1..5).for_each(|number| bench.submit(number, large.clone()));
    (5..9).for_each(|number| bench.submit(number, spec("dairy", Class::Urgent, false, 1000)));
    bench.commit();
    (1..4).for_each(|number| bench.submit(10 + number, large.clone()));
    bench.commit();
    let cancelled: Vec<JobId> = (5..9).map(job).collect();
    bench.shard.cancel(&cancelled, bench.time.now());
    bench.commit();
    bench.tick(Duration::from_secs(61));
    for number in 100..140 {
        bench.submit(number, spec("dairy", Class::Background, true, 1000));
        bench.commit();
        bench.reopen();
        assert!(
            cancelled.iter().all(|&id| bench.shard.job(id).is_none()),
            "a purged job came back"
        );
    }
    assert_eq!(bench.shard.jobs().count(), 47);
}

/// Compaction deletes the segments that hold the result of a job. The result has to
/// be copied until the job is purged, and must not come back after that.
#[test]
fn a_final_state_survives_the_compaction_of_its_segments() {
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
        assert!(bench.shard.job(job(1)).is_none(), "a purged job came back");
    }
}
