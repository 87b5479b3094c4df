//! Replays of more jobs than a pool can do, through admission and the scheduler: what is
//! sent again, admitted and done in time.

#![allow(clippy::print_stdout, reason = "measured figures are shown")]

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::spec::{config, job, pool, queue, step};
use support::world::{Faults, STEP_MS, World};
use vg_base::prelude::*;
use vg_flow::{Admission, JobOutcome, PoolTeam, RetrySlots, decide};

/// Duration and cores of each task of the replay.
const TASK_MS: u64 = 500;
const TASK_CORES: u32 = 4000;
/// Jobs per second that the workers of the replay could do without any delay.
const JOBS_PER_S: f64 = 16.0;
/// Time within which a job of the replay has value.
const LIMIT_MS: u64 = 4200;
const REPLAY_MS: u64 = 30_000;
/// Time after which the replay counts.
const WARM_UP_MS: u64 = 5000;

/// What became of the jobs of a replay, per second.
#[derive(Debug, Default)]
struct Outcome {
    offered: f64,
    sent: f64,
    admitted: f64,
    goodput: f64,
}

/// A caller's job: when it is sent next, and how often it has been sent.
type Arrival = (u64, u32);

/// Returns random arrivals from `start_ms` on for the time of a replay.
fn poisson_arrivals(start_ms: u64, jobs_per_s: f64, rng: &mut SmallRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < REPLAY_MS as f64 {
        arrivals.push((start_ms + at as u64, 0));
        at += -f64::ln(rng.random_range(1e-9..1.0)) * 1000.0 / jobs_per_s;
    }
    arrivals
}

/// Offers a multiple of the capacity. Callers send rejected jobs again up to four times,
/// after the time that they were told in whole seconds.
fn replay(factor: f64) -> Outcome {
    let mut world = World::new(1, 4, Faults::default());
    world.run(1000);
    let start = world.ms;
    let queue = config().present_queue(&queue("q-a")).unwrap().clone();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut arrivals = poisson_arrivals(start, JOBS_PER_S * factor, &mut rng);
    let (mut slots, mut open, mut next_id) = (RetrySlots::default(), Vec::new(), 1);
    let (mut digest, mut counts) = (None, Outcome::default());
    let per_s = 1000.0 / (REPLAY_MS - WARM_UP_MS) as f64;
    while world.ms < start + REPLAY_MS {
        let counted = if world.ms >= start + WARM_UP_MS { per_s } else { 0.0 };
        if world.ms.is_multiple_of(5 * STEP_MS) {
            digest = world.scheduler.load_digest(world.now(), world.wall());
        }
        for (_, tries) in arrivals.extract_if(.., |(at, _)| *at <= world.ms).collect::<Vec<_>>() {
            let spec = job("q-a", vec![step(1, TASK_CORES, TASK_MS)], world.wall());
            counts.offered += if tries == 0 { counted } else { 0.0 };
            counts.sent += counted;
            let age = Duration::from_millis(50);
            let decision = digest.as_ref().map(|digest| decide(digest, age, &spec, &queue));
            if let Some(Admission::Reject(rejection)) = decision {
                let account = PoolTeam { pool: pool("a"), team: spec.team.clone() };
                let delay = slots.next_delay(account, &rejection, 1, rng.random(), world.now());
                if tries < 4 {
                    let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
                    arrivals.push((world.ms + seconds * 1000, tries + 1));
                }
                continue;
            }
            counts.admitted += counted;
            open.push((world.submit(next_id, spec), world.ms));
            next_id += 1;
        }
        world.step();
        counts.goodput += counted * take_done_in_time(&world, &mut open) as f64;
    }
    assert_eq!(world.violations, Vec::<String>::new());
    counts
}

/// Removes the jobs that have ended; returns how many of them were done while of value.
/// `open` has the jobs and when they were accepted.
fn take_done_in_time(world: &World, open: &mut Vec<(JobId, u64)>) -> usize {
    let has_ended = |(id, _): &mut (JobId, u64)| world.store[id].end.is_some();
    let ended = open.extract_if(.., has_ended);
    let in_time = |(id, accepted): &(JobId, u64)| {
        world.ms - accepted <= LIMIT_MS && world.store[id].end == Some(JobOutcome::Done)
    };
    ended.filter(in_time).count()
}

/// Guards against work that is accepted and done too late, and against retries that
/// amplify an overload: what is done in time per second must stay level.
#[test]
fn goodput_stays_level_beyond_the_capacity() {
    let factors = [0.5, 1.0, 2.0, 5.0, 10.0];
    let outcomes = factors.map(replay);
    for (factor, outcome) in factors.iter().zip(&outcomes) {
        println!(
            "{factor:4}: offered {:5.1}, sent {:5.1}, admitted {:4.1}, goodput {:4.1} jobs/s",
            outcome.offered, outcome.sent, outcome.admitted, outcome.goodput
        );
    }
    assert_eq!(outcomes[0].sent, outcomes[0].offered, "jobs were rejected at half the capacity");
    let at_capacity = outcomes[1].goodput;
    for outcome in &outcomes[2..] {
        assert!(outcome.goodput >= 0.95 * at_capacity, "{outcome:?}");
        // On-time jobs overtake late ones, so that twice the capacity is not hopeless.
        assert!(outcome.admitted <= 3.0 * outcome.goodput, "{outcome:?}");
    }
}
