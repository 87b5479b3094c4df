//! Placement of jobs: on which workers, in which order, and how urgent jobs preempt
//! others.

mod support;

use std::collections::BTreeMap;

use support::bench::{Bench, host, job};
use support::{name, spec};
use vg_base::prelude::*;
use vg_jobs::{
    Action, CancelOutcome, Class, Estimates, Heartbeat, JobSpec, JobState, Lane, Report, Resources,
    SubmitError, Usage, WeightedPolicy, WorkerSpec,
};

const GB: u64 = 1 << 30;

fn hosts(count: usize) -> Vec<WorkerSpec> {
    (0..count).map(|at| host(at, Resources::new(16_000, 32 * GB, 0))).collect()
}

fn sized(class: Class, millis: u32, bytes: u64, accelerators: u16) -> JobSpec {
    let size = Resources::new(millis, bytes, accelerators);
    JobSpec { size, ..spec("dairy", class, true, 1) }
}

/// Urgent jobs on a single rack would all be lost with that rack.
#[test]
fn urgent_jobs_are_spread_over_racks_and_zones() {
    let mut bench = Bench::new(hosts(16));
    (0..8).for_each(|number| bench.submit(number, sized(Class::Urgent, 1000, GB, 0)));
    let mut racks: BTreeMap<usize, usize> = BTreeMap::new();
    for start in bench.run() {
        let host = bench.hosts.iter().position(|each| each.host == start.task.instance.worker);
        *racks.entry(host.unwrap() / 4).or_default() += 1;
    }
    assert_eq!(racks, BTreeMap::from([(0, 2), (1, 2), (2, 2), (3, 2)]));
}

/// Background jobs that are spread over all hosts would leave no host with enough
/// free capacity for a large job.
#[test]
fn background_jobs_fill_few_hosts() {
    let mut bench = Bench::new(hosts(8));
    (0..16).for_each(|number| bench.submit(number, sized(Class::Background, 2000, GB, 0)));
    let mut used: Vec<HostId> =
        bench.run().into_iter().map(|start| start.task.instance.worker).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2);
}

/// Jobs that need no accelerators must not use up the cores of a host whose
/// accelerators are still free. Otherwise nobody could use these accelerators.
#[test]
fn accelerators_are_kept_for_jobs_that_need_them() {
    let mut hosts = hosts(1);
    hosts.push(host(1, Resources::new(16_000, 32 * GB, 4)));
    let mut bench = Bench::new(hosts);
    (0..40).for_each(|number| bench.submit(number, sized(Class::Background, 1000, GB, 0)));
    assert_eq!(bench.run().len(), 16, "the host with accelerators was filled");
    (50..54).for_each(|number| bench.submit(number, sized(Class::Background, 4000, 8 * GB, 1)));
    let starts = bench.run();
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|start| start.task.instance.worker.as_str() == "w1"));
}

/// A team that submits twice as many jobs must not get more of a full pool than its
/// weight allows.
#[test]
fn a_full_pool_is_shared_by_weight_and_not_by_demand() {
    let mut bench = Bench::new(hosts(10));
    bench.policy = WeightedPolicy::new([(name("bakery"), Share(3)), (name("dairy"), Share(1))]);
    for number in 0..600 {
        let team = if number < 200 { "bakery" } else { "dairy" };
        bench.submit(number, JobSpec { team: name(team), ..sized(Class::Background, 1000, GB, 0) });
    }
    bench.run();
    let permits = bench.shard.permits();
    assert_eq!(permits[&name::<TeamId>("bakery")], Permits(120));
    assert_eq!(permits[&name::<TeamId>("dairy")], Permits(40));
}

/// A steady load of urgent jobs must not starve background jobs, and among urgent
/// jobs the earliest deadline has to go first, whatever the order of submission.
#[test]
fn urgent_jobs_go_first_by_deadline_and_background_jobs_keep_a_minimum() {
    let mut bench = Bench::new(hosts(2));
    for number in 0..200 {
        let class = if number % 2 == 0 { Class::Urgent } else { Class::Background };
        let start_by = (class == Class::Urgent)
            .then(|| bench.time.now().wall + Duration::from_secs(400 - number as u64));
        bench.submit(number, JobSpec { start_by, ..sized(class, 1000, GB, 0) });
    }
    let starts = bench.run();
    let urgent: Vec<JobId> = starts
        .iter()
        .filter(|start| start.spec.class == Class::Urgent)
        .map(|start| start.task.job)
        .collect();
    let background = starts.len() - urgent.len();
    assert!((1..=3).contains(&background), "{background} of {} are background", starts.len());
    let latest: Vec<JobId> = (0..100).rev().map(|at| job(at * 2)).take(urgent.len()).collect();
    assert_eq!(urgent, latest, "the earliest deadline does not go first");
}

/// The urgent job of a team at its limit is first in order. It must not keep the
/// jobs of other teams from starting.
#[test]
fn a_team_without_permits_does_not_block_other_teams() {
    let mut bench = Bench::new(hosts(1));
    bench.submit(1, JobSpec { team: name("bakery"), ..sized(Class::Urgent, 1000, GB, 0) });
    bench.submit(2, sized(Class::Background, 1000, GB, 0));
    let now = bench.time.now();
    let bakery: TeamId = name("bakery");
    let report = bench.shard.place(&mut bench.policy, |team| *team != bakery, now);
    assert_eq!(report.placed, 1);
    assert_eq!(bench.job(2).state(), JobState::Placed);
}

/// The first waiting job of a lane fits on no worker. Smaller jobs behind it still
/// have to start.
#[test]
fn a_job_that_fits_nowhere_does_not_block_smaller_ones() {
    let mut bench = Bench::new(hosts(1));
    bench.submit(1, sized(Class::Background, 10_000, GB, 0));
    bench.submit(2, sized(Class::Background, 10_000, GB, 0));
    bench.submit(3, sized(Class::Background, 1000, GB, 0));
    let started: Vec<JobId> = bench.run().into_iter().map(|start| start.task.job).collect();
    assert_eq!(started, [job(1), job(3)]);
}

/// An urgent job needs the capacity of one background job. More must not be
/// preempted than needed, also not by a second round, and the preempted job has to
/// resume from its checkpoint later.
#[test]
fn urgent_jobs_preempt_background_jobs_by_checkpoint_first() {
    let mut bench = Bench::new(hosts(1));
    (0..4).for_each(|number| bench.submit(number, sized(Class::Background, 4000, GB, 0)));
    bench.run();
    bench.submit(9, sized(Class::Urgent, 4000, GB, 0));
    assert_eq!(bench.place().preempting, 1);
    assert_eq!(bench.place().preempting, 1);
    let checkpointed = |action: &Action| match action {
        Action::Checkpoint(task) => Some(task.job),
        _ => None,
    };
    bench.commit();
    let preempted: Vec<JobId> = bench.actions.iter().filter_map(checkpointed).collect();
    assert_eq!(preempted.len(), 1, "more is preempted than needed");
    bench.report(preempted[0], Report::Stopped { checkpoint: Some("half".into()) });
    assert_eq!(bench.shard.job(preempted[0]).unwrap().state(), JobState::Stopped);
    let starts = bench.run();
    assert_eq!(starts[0].task.job, job(9));
    bench.report(job(9), Report::Exited { exit: 0 });
    let starts = bench.run();
    assert_eq!((starts[0].task.job, starts[0].resume.clone()), (preempted[0], Some("half".into())));
}

/// A preempted job that writes no checkpoint is stopped after a time-out and runs
/// again from the beginning. A job that is not idempotent would do its work twice,
/// so it must not be preempted.
#[test]
fn a_job_without_a_checkpoint_is_stopped_only_if_idempotent() {
    let mut bench = Bench::new(hosts(1));
    let full = sized(Class::Background, 16_000, GB, 0);
    bench.submit(1, JobSpec { idempotent: false, ..full.clone() });
    bench.run();
    bench.submit(9, sized(Class::Urgent, 4000, GB, 0));
    assert_eq!(bench.place().preempting, 0);
    bench.report(job(1), Report::Exited { exit: 0 });
    bench.shard.cancel(&[job(9)], bench.time.now());
    bench.submit(2, full);
    bench.run();
    bench.submit(10, sized(Class::Urgent, 4000, GB, 0));
    assert_eq!(bench.place().preempting, 1);
    bench.actions.clear();
    bench.tick(Duration::from_millis(1100));
    let stopped = |action: &Action| matches!(action, Action::Stop(task) if task.job == job(2));
    assert!(bench.actions.iter().any(stopped));
}

/// An urgent job of a team without a permit could not use the freed capacity, so
/// the background job would be preempted for nothing.
#[test]
fn a_team_at_its_limit_does_not_preempt() {
    let mut bench = Bench::new(hosts(1));
    bench.submit(1, sized(Class::Background, 16_000, GB, 0));
    bench.run();
    bench.submit(2, JobSpec { team: name("bakery"), ..sized(Class::Urgent, 4000, GB, 0) });
    let now = bench.time.now();
    let report = bench.shard.place(&mut bench.policy, |_| false, now);
    assert_eq!(report.preempting, 0);
    assert_eq!(bench.job(1).state(), JobState::Running);
}

/// A job that fits no host must be rejected at submission. If its host disappears
/// later, the job is parked only after a delay, since the host may come back, and
/// is queued again when it does.
#[test]
fn a_job_that_no_host_could_hold_is_rejected_or_parked() {
    let mut bench = Bench::new(hosts(1));
    let large = sized(Class::Urgent, 20_000, GB, 0);
    let rejected = bench.shard.submit(job(1), large.clone(), bench.time.now());
    assert_eq!(rejected, Err(SubmitError::CannotRun));
    bench.hosts.push(host(1, Resources::new(32_000, 64 * GB, 0)));
    bench.list_hosts();
    bench.submit(1, large);
    let both = std::mem::replace(&mut bench.hosts, hosts(1));
    bench.list_hosts();
    bench.tick(Duration::ZERO);
    bench.tick(Duration::from_secs(599));
    assert_eq!(bench.job(1).state(), JobState::Queued, "the host may come back");
    bench.tick(Duration::from_secs(2));
    assert_eq!(bench.job(1).state(), JobState::CannotRun);
    bench.commit();
    assert_eq!(bench.job(1).visible_state(), Some(JobState::CannotRun));
    bench.hosts = both;
    bench.list_hosts();
    assert_eq!(bench.job(1).state(), JobState::Queued, "a host can hold it again");
}

/// A worker that is about to leave must become empty without work being done twice:
/// idempotent jobs move by checkpoint, others finish there.
#[test]
fn leaving_workers_get_no_jobs_and_are_drained_by_checkpoint() {
    let mut bench = Bench::new(hosts(2));
    bench.submit(1, sized(Class::Background, 1000, GB, 0));
    bench.submit(2, JobSpec { idempotent: false, ..sized(Class::Background, 1000, GB, 0) });
    let starts = bench.run();
    let leaving = starts[0].task.instance.worker.clone();
    bench.hosts.iter_mut().for_each(|host| host.leaving = host.host == leaving);
    bench.list_hosts();
    bench.tick(Duration::ZERO);
    assert_eq!(bench.job(1).state(), JobState::Checkpointing);
    assert_eq!(bench.job(2).state(), JobState::Running, "it is not idempotent and may not move");
    bench.report(job(1), Report::Stopped { checkpoint: None });
    bench.submit(3, sized(Class::Urgent, 1000, GB, 0));
    assert!(bench.run().iter().all(|start| start.task.instance.worker != leaving));
    assert!(!bench.shard.is_worker_idle(&leaving));
    bench.report(job(2), Report::Exited { exit: 0 });
    assert!(bench.shard.is_worker_idle(&leaving));
}

fn report_usage(bench: &mut Bench, total: Resources, tasks: &[(u128, Resources)]) {
    let now = bench.time.now();
    let attempt = |number: u128| bench.job(number).attempt();
    let tasks = tasks.iter().map(|&(number, used)| (job(number), attempt(number), used)).collect();
    let usage = Some(Usage { measured: now.mono, total, tasks });
    let host = bench.hosts[0].host.clone();
    let heartbeat = Heartbeat { host, incarnation: Incarnation(1), sent: now.mono, usage };
    bench.shard.heartbeat(heartbeat, now);
}

/// Background jobs use more than planned and slow down an urgent job on the same
/// worker. The owner acts once for each measurement, since the effect shows only in
/// the next one, and ignores measurements that are too old.
#[test]
fn an_overloaded_worker_is_relieved_once_per_measurement() {
    let mut bench = Bench::new(hosts(1));
    bench.submit(1, sized(Class::Urgent, 1000, GB, 0));
    (2..4).for_each(|number| bench.submit(number, sized(Class::Background, 1000, GB, 0)));
    bench.run();
    let tasks = [(2, Resources::new(9000, 20 * GB, 0)), (3, Resources::new(9000, 10 * GB, 0))];
    report_usage(&mut bench, Resources::new(16_000, 20 * GB, 0), &tasks);
    bench.tick(Duration::from_secs(1));
    let throttles = |bench: &Bench| {
        let throttle = |action: &&Action| matches!(action, Action::Throttle { .. });
        bench.actions.iter().filter(throttle).count()
    };
    assert_eq!(throttles(&bench), 2);
    bench.tick(Duration::from_secs(1));
    assert_eq!(throttles(&bench), 2, "the owner acted twice on one measurement");
    report_usage(&mut bench, Resources::new(9000, 30 * GB, 0), &tasks);
    bench.tick(Duration::from_secs(1));
    assert_eq!(bench.job(2).state(), JobState::Checkpointing, "it has the most memory");
    assert_eq!(bench.job(1).state(), JobState::Running);
    assert_eq!(bench.job(3).state(), JobState::Running);
    bench.report(job(2), Report::CheckpointFailed);
    bench.time.advance(Duration::from_secs(31));
    bench.heartbeat_all();
    bench.tick(Duration::ZERO);
    assert_eq!(bench.job(3).state(), JobState::Running, "the measurement is too old");
}

/// An estimate from too few samples, or from jobs with extreme usage, must not lead
/// to absurd planned sizes.
#[test]
fn learned_sizes_replace_declared_ones_within_bounds() {
    let lane = |class| Lane { class, queue: name("feeds"), team: name("dairy") };
    let declared = Resources::new(4000, 8 * GB, 1);
    let mut estimates = Estimates::default();
    let mut learn = |class, peak: Resources, count: u64| {
        (0..count).for_each(|seconds| {
            estimates.record(&lane(class), &declared, &peak, Duration::from_secs(seconds));
        });
        estimates.size(&lane(class), &declared)
    };
    let used = Resources::new(1000, 2 * GB, 0);
    assert_eq!(learn(Class::Background, used, 7), declared, "there are too few samples");
    assert_eq!(learn(Class::Background, used, 1), Resources::new(1000, 2 * GB, 1));
    let tiny = Resources::new(1, 1, 0);
    assert_eq!(learn(Class::Urgent, tiny, 64).cores.0, 400, "the estimate is at least a tenth");
    let huge = Resources::new(90_000, 90 * GB, 0);
    assert_eq!(
        learn(Class::Urgent, huge, 64).cores.0,
        16_000,
        "the estimate is at most four times the declared size"
    );
    assert_eq!(estimates.run_time(&lane(Class::Background)), Some(Duration::from_secs(2)));
}

/// The cancelled jobs run, have finished, are placed without a sent start, or do not
/// exist. None of them may be started again, and a job that finishes before its stop
/// arrives must keep its result.
#[test]
fn cancelled_jobs_stop_wherever_they_are() {
    let mut bench = Bench::new(hosts(1));
    (1..4).for_each(|number| bench.submit(number, sized(Class::Background, 1000, GB, 0)));
    bench.commit();
    bench.run();
    bench.report(job(3), Report::Exited { exit: 0 });
    bench.submit(4, sized(Class::Background, 1000, GB, 0));
    bench.place();
    let ids: Vec<JobId> = (1..6).map(job).collect();
    let outcomes = bench.shard.cancel(&ids, bench.time.now());
    let done = CancelOutcome::Finished(JobState::Done { exit: 0 });
    let staged = CancelOutcome::Staged;
    assert_eq!(outcomes, [staged, staged, done, staged, CancelOutcome::UnknownJob]);
    assert_eq!(bench.job(4).state(), JobState::Cancelled, "its start was never sent");
    assert!(bench.run().is_empty());
    let stops = |action: &&Action| matches!(action, Action::Stop(_));
    assert_eq!(bench.actions.iter().filter(stops).count(), 2);
    bench.report(job(1), Report::Stopped { checkpoint: None });
    bench.report(job(2), Report::Exited { exit: 0 });
    assert_eq!(bench.job(1).state(), JobState::Cancelled);
    assert_eq!(bench.job(2).state(), JobState::Done { exit: 0 }, "it ended before its stop");
}
