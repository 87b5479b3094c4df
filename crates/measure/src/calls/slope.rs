//! Time that a decision takes, against the number of waiting calls.

use std::io::Write;
use std::str::FromStr;

use vg_base::prelude::*;
use vg_conf::Class;
use vg_share::{PoolRules, QueueRule, Scheduler, WorkItem};

use super::draw::Draw;
use crate::Error;
use crate::report::Table;

/// Teams of the largest fleet that is planned for.
const TEAMS: usize = 65;
/// Queues of the pool.
const QUEUES: usize = 5;
/// Slots of the pool.
const SLOTS: u32 = 96;
/// Decisions that are timed.
const DECISIONS: u32 = 20_000;
/// Lengths of the queues, all together.
const LENGTHS: [usize; 4] = [100, 1_000, 10_000, 100_000];

/// Times decisions and prints a table.
pub(super) fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\ndecisions: offer, next and finish of one call, {TEAMS} teams, wall time")?;
    let mut table = Table::new(&["waiting", "microseconds a call", "calls a second"]);
    for length in LENGTHS {
        let taken = time(seed, length);
        let each = taken.as_secs_f64() / f64::from(DECISIONS);
        table.row(&[&length, &format!("{:.2}", each * 1e6), &format!("{:.0}", 1.0 / each)]);
    }
    table.write(out)?;
    Ok(())
}

fn time(seed: u64, length: usize) -> Duration {
    let mut draw = Draw::new(seed);
    let names: Vec<TeamId> =
        (0..TEAMS).filter_map(|at| TeamId::from_str(&format!("team-{at}")).ok()).collect();
    let queues: Vec<QueueId> =
        (0..QUEUES).filter_map(|at| QueueId::from_str(&format!("queue-{at}")).ok()).collect();
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
        // Refused offers would show as a shorter queue; bounds are far off.
        let _ = scheduler.offer(item(now), now);
    }
    let mut running = Vec::new();
    while running.len() < SLOTS as usize {
        running.extend(scheduler.start_next(now, |_| true).map(|(ticket, _)| ticket));
    }
    let clock = Instant::now();
    for turn in 0..DECISIONS as usize {
        now += Duration::from_millis(1);
        let _ = scheduler.offer(item(now), now);
        let at = turn % running.len();
        scheduler.finish(running[at], now);
        if let Some((ticket, _)) = scheduler.start_next(now, |_| true) {
            running[at] = ticket;
        }
    }
    clock.elapsed()
}

fn class_of(queue: usize) -> Class {
    if queue < 2 { Class::Urgent } else { Class::Background }
}

fn rules(teams: &[TeamId], queues: &[QueueId]) -> PoolRules {
    let queues = queues.iter().enumerate().map(|(at, queue)| {
        let rule = QueueRule {
            class: class_of(at),
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
