//! Measures the time of a scheduling decision by the number of waiting calls.

use std::io::Write;
use std::str::FromStr;

use vg_base::prelude::*;
use vg_conf::Class;
use vg_share::{PoolRules, QueueRule, Scheduler, WorkItem};

use super::draw::Draw;
use crate::Error;
use crate::report::Table;

/// Number of teams of the largest planned fleet.
const TEAMS: usize = 65;
/// Number of queues of the pool.
const QUEUES: usize = 5;
/// Number of slots of the pool.
const SLOTS: u32 = 96;
/// Number of decisions that are measured.
const DECISIONS: u32 = 20_000;
/// Numbers of waiting calls, over all queues.
const QUEUE_LENGTHS: [usize; 4] = [100, 1_000, 10_000, 100_000];

/// Measures the decisions for each number of waiting calls and prints a table.
pub(super) fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\ndecisions: offer, start and finish of one call, {TEAMS} teams, real time")?;
    let mut table = Table::new(&["waiting", "microseconds per call", "calls/s"]);
    for length in QUEUE_LENGTHS {
        let elapsed = measure(seed, length);
        let each = elapsed.as_secs_f64() / f64::from(DECISIONS);
        table.row(&[&length, &format!("{:.2}", each * 1e6), &format!("{:.0}", 1.0 / each)]);
    }
    table.write(out)?;
    Ok(())
}

/// Returns the time of [`DECISIONS`] decisions with `length` waiting calls.
fn measure(seed: u64, length: usize) -> Duration {
    let mut draw = Draw::new(seed);
    let names: Vec<TeamId> =
        (0..TEAMS).filter_map(|index| TeamId::from_str(&format!("team-{index}")).ok()).collect();
    let queues: Vec<QueueId> =
        (0..QUEUES).filter_map(|index| QueueId::from_str(&format!("queue-{index}")).ok()).collect();
    let mut scheduler = Scheduler::new(rules(&names, &queues));
    scheduler.resize(Slots(SLOTS));
    let mut now = Instant::now();
    let mut item = |now: Instant| {
        let queue = (draw.unit() * QUEUES as f64) as usize;
        WorkItem {
            queue: queues[queue].clone(),
            team: names[(draw.unit() * TEAMS as f64) as usize].clone(),
            class: class_of(queue),
            deadline: now + Duration::from_secs(3600),
            expected: Duration::from_millis(50),
        }
    };
    for _ in 0..length + SLOTS as usize {
        // No call is refused, since the limits are far above the lengths.
        let _ = scheduler.offer(item(now), now);
    }
    let mut running = Vec::new();
    while running.len() < SLOTS as usize {
        running.extend(scheduler.start_next(now, |_| true).map(|(ticket, _)| ticket));
    }
    let started = Instant::now();
    for decision in 0..DECISIONS as usize {
        now += Duration::from_millis(1);
        let _ = scheduler.offer(item(now), now);
        let index = decision % running.len();
        scheduler.finish(running[index], now);
        if let Some((ticket, _)) = scheduler.start_next(now, |_| true) {
            running[index] = ticket;
        }
    }
    started.elapsed()
}

/// Returns the class of a queue: the first two are urgent.
fn class_of(queue: usize) -> Class {
    if queue < 2 { Class::Urgent } else { Class::Background }
}

/// Returns rules with equal shares.
fn rules(teams: &[TeamId], queues: &[QueueId]) -> PoolRules {
    let queues = queues.iter().enumerate().map(|(index, queue)| {
        let rule = QueueRule {
            class: class_of(index),
            deadline: Duration::from_secs(3600),
            max_waiting: 1_000_000,
            multi_team: true,
        };
        (queue.clone(), rule)
    });
    PoolRules {
        teams: teams.iter().map(|team| (team.clone(), Share(10))).collect(),
        queues: queues.collect(),
        floor_percent: 5,
        urgent_credit: Duration::from_secs(1),
    }
}
