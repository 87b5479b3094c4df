//! Batches of the journal: their limits, their grouping and the fencing of an
//! owner.

mod support;

use bytes::Bytes;
use support::bench::{Bench, host, job};
use support::store::FakeStore;
use support::{Time, member, name, spec, tight_limits};
use vg_base::prelude::*;
use vg_jobs::{
    Action, BatchGroup, Class, Commit, CommitOutcome, Durability, JobSpec, JobState, Limits,
    PAYLOAD_MAX_BYTES, Resources, Shard, SpecError, SubmitError, SubmitOutcome, claim, recover,
};

fn bench() -> Bench {
    Bench::new(vec![host(0, Resources::new(64_000, 64 << 30, 0))])
}

fn small() -> JobSpec {
    spec("dairy", Class::Urgent, false, 100)
}

/// A job that is acknowledged before its batch is durable would be lost by a crash
/// of the owner. A repeated submission must get the same answer, and another job
/// must not get the same id.
#[test]
fn a_job_is_acknowledged_only_when_its_batch_is_durable() {
    let mut bench = bench();
    bench.submit(1, small());
    assert_eq!(bench.job(1).visible_state(), None);
    assert_eq!(bench.shard.submit(job(1), small(), bench.time.now()), Ok(SubmitOutcome::Pending));
    let batch = bench.shard.next_batch(bench.time.now()).unwrap().unwrap();
    assert!(!bench.shard.take_actions().contains(&Action::Accepted { job: job(1) }));
    let revision = bench.store.commit(&batch).unwrap();
    bench.shard.handle_commit(batch.id, Commit::Done { revision }, bench.time.now());
    assert!(bench.shard.take_actions().contains(&Action::Accepted { job: job(1) }));
    let again = bench.shard.submit(job(1), small(), bench.time.now());
    assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted(JobState::Queued)));
    let other = JobSpec { idempotent: true, ..small() };
    assert_eq!(bench.shard.submit(job(1), other, bench.time.now()), Err(SubmitError::IdTaken));
}

/// The store allows few writes. Jobs and cancellations that come at once have to
/// share batches.
#[test]
fn many_jobs_and_many_cancellations_take_few_writes() {
    let mut bench = bench();
    (0..2000).for_each(|number| bench.submit(number, small()));
    let writes = bench.commit();
    assert!(writes <= 4, "2000 jobs took {writes} writes");
    let all: Vec<JobId> = (0..2000).map(job).collect();
    bench.shard.cancel(&all, bench.time.now());
    let writes = bench.commit();
    assert!(writes <= 4, "2000 cancellations took {writes} writes");
    assert!(
        all.iter().all(|&id| {
            bench.shard.job(id).unwrap().visible_state() == Some(JobState::Cancelled)
        })
    );
}

/// The store limits the size of a value. Batches of the largest payloads, together
/// with records copied by compaction, must stay below that limit; larger payloads
/// are rejected.
#[test]
fn large_payloads_stay_within_the_size_limit_of_a_value() {
    let mut bench = bench();
    let payload = Bytes::from(vec![1; PAYLOAD_MAX_BYTES]);
    for number in 0..40 {
        // The store of the test panics on values of 256 KB or more.
        bench.submit(number, JobSpec { payload: payload.clone(), ..small() });
        bench.commit();
    }
    let payload = Bytes::from(vec![1; PAYLOAD_MAX_BYTES + 1]);
    let rejected = bench.shard.submit(job(99), JobSpec { payload, ..small() }, bench.time.now());
    let source = SpecError::PayloadTooLarge { length: PAYLOAD_MAX_BYTES + 1 };
    assert_eq!(rejected, Err(SubmitError::Malformed { source }));
}

/// A steady stream of submissions must not cause one write each, as the store
/// allows few writes per second.
#[test]
fn batches_keep_the_interval_that_the_store_allows() {
    let limits = Limits::default();
    let mut bench = Bench::with_limits(Vec::new(), limits);
    let mut writes = 0;
    for number in 0..200 {
        bench.submit(number, small());
        bench.time.advance(Duration::from_millis(10));
        writes += bench.commit();
    }
    assert!(writes <= 8, "{writes} writes in 2 s");
}

/// The store does not take batches. Staged changes must not grow without bound, and
/// placements would only hold capacity and permits for starts that can't be sent.
#[test]
fn a_slow_store_stops_submissions_and_placements() {
    let mut bench =
        Bench::with_limits(Vec::new(), Limits { max_staged_bytes: 2000, ..Limits::default() });
    let rejected = (0..100)
        .map(|number| bench.shard.submit(job(number), small(), bench.time.now()))
        .find(Result::is_err);
    assert_eq!(rejected, Some(Err(SubmitError::StoreBusy)));
    bench.hosts = vec![host(0, Resources::new(64_000, 64 << 30, 0))];
    bench.list_hosts();
    assert_eq!(bench.place().placed, 0);
}

/// The answer to a commit is lost, and the batch took effect or did not. The owner
/// has to find out from the head, and must send no other batch before.
#[test]
fn a_lost_answer_is_resolved_by_reading_the_head() {
    let mut bench = bench();
    for (number, takes_effect) in [(1, true), (2, false)] {
        bench.submit(number, small());
        let now = bench.time.now();
        let batch = bench.shard.next_batch(now).unwrap().unwrap();
        if takes_effect {
            bench.store.commit(&batch);
        }
        assert_eq!(bench.shard.handle_commit(batch.id, Commit::Lost, now), CommitOutcome::ReadHead);
        assert_eq!(bench.shard.next_batch(now), Ok(None), "the batch is not resolved yet");
        let head = bench.store.head(&name("wards"));
        let outcome = bench.shard.handle_head(head.as_ref(), now).unwrap();
        assert_eq!(outcome == CommitOutcome::Retry, !takes_effect);
        if !takes_effect {
            assert_eq!(bench.shard.next_batch(now), Ok(Some(batch)), "another batch was sent");
        }
    }
}

/// Another member takes over while the answer to a batch is lost. The previous
/// owner must neither write any more nor tell submitters anything wrong about their
/// jobs.
#[test]
fn a_fenced_owner_reports_what_it_knows_about_its_last_batch() {
    for (takes_effect, durability) in [(true, Durability::Durable), (false, Durability::NotWritten)]
    {
        let mut bench = bench();
        bench.submit(1, small());
        let now = bench.time.now();
        let batch = bench.shard.next_batch(now).unwrap().unwrap();
        bench.submit(2, small());
        if takes_effect {
            bench.store.commit(&batch);
        }
        let taken = claim(&name("wards"), &member(2), bench.store.head(&name("wards")).as_ref());
        bench.store.commit(&taken.unwrap());
        assert_eq!(bench.store.commit(&batch), None, "a fenced batch took effect");
        bench.shard.handle_commit(batch.id, Commit::Lost, now);
        let head = bench.store.head(&name("wards"));
        assert_eq!(
            bench.shard.handle_head(head.as_ref(), now),
            Ok(CommitOutcome::Fenced(durability))
        );
        let jobs = vec![(job(1), durability), (job(2), Durability::NotWritten)];
        assert!(bench.shard.take_actions().contains(&Action::Unconfirmed { jobs }));
        assert_eq!(bench.shard.submit(job(3), small(), now), Err(SubmitError::NotOwner));
        assert_eq!(bench.shard.next_batch(now), Ok(None));
    }
}

/// The batches of three pools are committed as one transaction, and one of the
/// pools was lost to another owner. The transaction fails for all, and the other
/// two have to succeed without the lost one.
#[test]
fn pools_of_one_owner_share_a_write_and_a_lost_pool_does_not_block_the_others() {
    let mut store = FakeStore::default();
    let now = Time::new().now();
    let pools: Vec<PoolId> = (0..3).map(|at| name(&format!("p{at}"))).collect();
    let mut shards: Vec<Shard> = Vec::new();
    for pool in &pools {
        store.commit(&claim(pool, &member(1), None).unwrap()).unwrap();
        let recovered = recover(pool, &member(1), &store.under(pool)).unwrap();
        let mut shard = Shard::restore(recovered, tight_limits(), now);
        shard.submit(job(1), small(), now).unwrap();
        shards.push(shard);
    }
    let head = store.head(&pools[1]);
    store.commit(&claim(&pools[1], &member(2), head.as_ref()).unwrap()).unwrap();
    for expected_members in [3, 2] {
        let batches = pools
            .iter()
            .zip(&mut shards)
            .filter_map(|(pool, shard)| Some((pool.clone(), shard.next_batch(now).unwrap()?)));
        let groups = BatchGroup::join(batches.collect());
        assert_eq!((groups.len(), groups[0].members.len()), (1, expected_members));
        let done = store.transact(&groups[0].expects, &groups[0].writes);
        let commit = done.map_or(Commit::Conflict, |revision| Commit::Done { revision });
        assert_eq!(done.is_some(), expected_members == 2);
        for (pool, id) in &groups[0].members {
            let at = pools.iter().position(|each| each == pool).unwrap();
            if shards[at].handle_commit(*id, commit, now) == CommitOutcome::ReadHead {
                shards[at].handle_head(store.head(pool).as_ref(), now).unwrap();
            }
        }
    }
    let shown: Vec<_> =
        shards.iter().map(|shard| shard.job(job(1)).unwrap().visible_state()).collect();
    assert_eq!(shown, [Some(JobState::Queued), None, Some(JobState::Queued)]);
    assert!(shards[1].journal().is_fenced());
}

/// Jobs come and go all the time. Without compaction the log would grow with every
/// batch.
#[test]
fn the_number_of_segments_stays_small() {
    let mut bench = bench();
    for number in 0..600 {
        bench.submit(number, small());
        bench.commit();
        bench.shard.cancel(&[job(number)], bench.time.now());
        bench.commit();
        bench.tick(Duration::from_secs(5));
        bench.commit();
    }
    let journal = bench.shard.journal();
    assert!(journal.segments() <= 5, "{} segments", journal.segments());
    assert!(journal.live_bytes() < 16 * 1024, "{} bytes", journal.live_bytes());
}
