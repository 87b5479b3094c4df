//! Single cases of shares, deadlines, the background floor and refusals.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Class;
use vg_share::{PoolRules, QueueRule, Refusal, Scheduler, Ticket, WorkItem};

const SLOTS: u32 = 20;

fn rules(shares: &[(&str, u32)]) -> PoolRules {
    let queue = |class, max_waiting| QueueRule {
        class,
        deadline: Duration::from_secs(10),
        max_waiting,
        multi_team: true,
    };
    PoolRules {
        teams: shares.iter().map(|(id, share)| (id.parse().unwrap(), Share(*share))).collect(),
        queues: BTreeMap::from([
            ("urgent".parse().unwrap(), queue(Class::Urgent, 900)),
            ("feed".parse().unwrap(), queue(Class::Background, 900)),
            ("sync".parse().unwrap(), queue(Class::Background, 900)),
        ]),
        floor_percent: 5,
        urgent_credit: Duration::from_secs(1),
    }
}

fn scheduler(shares: &[(&str, u32)]) -> Scheduler {
    let mut scheduler = Scheduler::new(rules(shares));
    scheduler.resize(Slots(SLOTS));
    scheduler
}

fn item(team: &str, queue: &str, deadline: Instant) -> WorkItem {
    WorkItem {
        queue: queue.parse().unwrap(),
        team: team.parse().unwrap(),
        class: if queue == "urgent" { Class::Urgent } else { Class::Background },
        deadline,
        expected: Duration::from_millis(100),
    }
}

/// Keeps `BACKLOG` items of each team waiting, runs each item for about 100 ms, and
/// returns the number of finished items of each team.
fn drive(
    scheduler: &mut Scheduler,
    senders: &[(&str, &[&str])],
    seconds: u64,
    mut may_start: impl FnMut(&TeamId) -> bool,
) -> BTreeMap<String, usize> {
    const BACKLOG: usize = 60;
    let start = Instant::now();
    let mut running: Vec<(Instant, Ticket, String)> = Vec::new();
    let mut finished = BTreeMap::new();
    for step in 0..seconds * 100 {
        let now = start + Duration::from_millis(step * 10);
        while let Some(at) = running.iter().position(|(end, ..)| *end <= now) {
            let (_, ticket, team) = running.swap_remove(at);
            scheduler.finish(ticket, now);
            *finished.entry(team).or_insert(0) += 1;
        }
        for (team, queues) in senders {
            let waiting = scheduler
                .stats()
                .teams
                .iter()
                .find(|each| each.team.as_str() == *team)
                .unwrap()
                .waiting;
            for turn in waiting..BACKLOG {
                let queue = queues[turn % queues.len()];
                // Urgent work is always due so soon that it may go ahead of its share.
                let due = if queue == "urgent" { 400 } else { 8000 };
                let due = now + Duration::from_millis(due);
                let _ = scheduler.offer(item(team, queue, due), now);
            }
        }
        while running.len() < SLOTS as usize {
            let Some((ticket, item)) = scheduler.start_next(now, &mut may_start) else { break };
            // Run times are spread, so that slots do not become free all at once.
            let end = now + Duration::from_millis(60 + (step * 7 + running.len() as u64 * 13) % 80);
            running.push((end, ticket, item.team.to_string()));
        }
        scheduler.expire(now);
    }
    finished
}

/// Returns the fraction of the finished items that belong to a team.
fn fraction(finished: &BTreeMap<String, usize>, team: &str) -> f64 {
    finished.get(team).copied().unwrap_or(0) as f64 / finished.values().sum::<usize>() as f64
}

/// Guards against slot time that deviates from the teams' shares while all teams have
/// waiting work.
#[test]
fn a_full_pool_is_divided_by_share() {
    let mut scheduler = scheduler(&[("a", 3), ("b", 1)]);
    let finished = drive(&mut scheduler, &[("a", &["feed"]), ("b", &["feed"])], 20, |_| true);
    assert!((fraction(&finished, "a") - 0.75).abs() < 0.02, "{finished:?}");
}

/// Guards against a team that gets more than its share because it sends its work to
/// several queues.
#[test]
fn splitting_work_over_queues_gains_no_slots() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let senders: &[(&str, &[&str])] = &[("a", &["feed", "sync", "urgent"]), ("b", &["feed"])];
    let finished = drive(&mut scheduler, senders, 20, |_| true);
    assert!((fraction(&finished, "a") - 0.5).abs() < 0.02, "{finished:?}");
}

/// Guards against a team that sends all of its work as urgent and stays ahead of its share
/// for longer than the credit.
#[test]
fn false_urgency_gains_at_most_the_credit() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let finished = drive(&mut scheduler, &[("a", &["urgent"]), ("b", &["feed"])], 60, |_| true);
    // The credit is one second of the pool's time in a minute.
    assert!(fraction(&finished, "a") - 0.5 < 1.0 / 60.0 + 0.01, "{finished:?}");
}

/// Guards against idle slots: a team with a small share is held to it although the team
/// with the large share sends nothing.
#[test]
fn unused_shares_go_to_other_teams() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 9)]);
    let finished = drive(&mut scheduler, &[("a", &["feed"])], 5, |_| true);
    assert_eq!(fraction(&finished, "a"), 1.0);
    assert!(finished["a"] > 700, "20 slots of 100 ms for 5 s: {finished:?}");
}

/// Guards against a team without idle permits that is first in the order and keeps the
/// free slots from the other teams.
#[test]
fn a_team_without_permits_does_not_block_others() {
    let mut scheduler = scheduler(&[("a", 9), ("b", 1)]);
    let senders: &[(&str, &[&str])] = &[("a", &["feed", "urgent"]), ("b", &["feed"])];
    let finished = drive(&mut scheduler, senders, 5, |team| team.as_str() != "a");
    assert_eq!(fraction(&finished, "b"), 1.0);
}

/// Guards against background work that never starts, because urgent work always goes
/// first.
#[test]
fn background_work_keeps_its_floor() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let senders: &[(&str, &[&str])] = &[("a", &["urgent", "urgent", "feed"]), ("b", &["urgent"])];
    let start = Instant::now();
    for _ in 0..40 {
        for (team, queues) in senders {
            for queue in *queues {
                let deadline = start + Duration::from_secs(9);
                scheduler.offer(item(team, queue, deadline), start).unwrap();
            }
        }
    }
    for _ in 0..SLOTS {
        scheduler.start_next(start, |_| true).unwrap();
    }
    assert_eq!(scheduler.stats().running_background, 1, "5 percent of 20 slots");
}

/// Guards against a team's background work that starts before its urgent work because its
/// deadline is earlier.
#[test]
fn urgent_work_goes_before_background_work() {
    let mut scheduler = scheduler(&[("a", 1)]);
    scheduler.configure(PoolRules { floor_percent: 0, ..rules(&[("a", 1)]) });
    let now = Instant::now();
    scheduler.offer(item("a", "feed", now + Duration::from_secs(1)), now).unwrap();
    scheduler.offer(item("a", "urgent", now + Duration::from_secs(9)), now).unwrap();
    let (_, first) = scheduler.start_next(now, |_| true).unwrap();
    assert_eq!(first.queue.as_str(), "urgent");
}

/// Guards against a team that fills a queue, so that the other teams' work is refused.
#[test]
fn one_team_cannot_fill_a_shared_queue() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let now = Instant::now();
    let deadline = now + Duration::from_secs(9);
    let offers = (0..2000).map(|_| scheduler.offer(item("a", "feed", deadline), now));
    assert_eq!(offers.filter(Result::is_ok).count(), 600, "two thirds of 900");
    assert!(scheduler.offer(item("b", "feed", deadline), now).is_ok());
}

/// Guards against work that waits on, or even starts, when it can no longer end by its
/// deadline.
#[test]
fn late_work_is_refused_at_its_latest_start() {
    let mut scheduler = scheduler(&[("a", 1)]);
    let now = Instant::now();
    let due = now + Duration::from_secs(1);
    let ticket = scheduler.offer(item("a", "urgent", due), now).unwrap();
    let expiry = scheduler.next_expiry().unwrap();
    assert_eq!(expiry, due - Duration::from_millis(100), "leaves time for the declared run time");
    assert!(scheduler.expire(expiry).is_empty());
    let refused = scheduler.expire(expiry + Duration::from_millis(1));
    assert!(
        matches!(refused[..], [(found, Refusal::CannotMeetDeadline { .. })] if found == ticket)
    );
    assert_eq!(scheduler.start_next(expiry, |_| true), None);
}

/// Guards against a queue that refuses all work once its measured run times are longer
/// than the deadline, so that it never measures shorter ones.
#[test]
fn long_run_times_do_not_close_a_queue() {
    let mut scheduler = scheduler(&[("a", 1)]);
    let mut now = Instant::now();
    for _ in 0..50 {
        let due = now + Duration::from_secs(10);
        scheduler.offer(item("a", "urgent", due), now).unwrap();
        let (ticket, _) = scheduler.start_next(now, |_| true).unwrap();
        now += Duration::from_secs(40);
        scheduler.finish(ticket, now);
    }
    assert!(scheduler.offer(item("a", "urgent", now + Duration::from_secs(10)), now).is_ok());
}

/// Guards against waiting items that are lost, and against teams that stay in the table
/// for ever, when new rules no longer name a team.
#[test]
fn new_rules_keep_waiting_items() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let now = Instant::now();
    let due = now + Duration::from_secs(9);
    let ticket = scheduler.offer(item("a", "feed", due), now).unwrap();
    scheduler.configure(rules(&[("b", 1)]));
    assert_eq!(scheduler.offer(item("a", "feed", due), now), Err(Refusal::NotConfigured));
    let (found, _) = scheduler.start_next(now, |_| true).unwrap();
    assert_eq!(found, ticket);
    scheduler.finish(ticket, now);
    assert_eq!(scheduler.stats().teams.len(), 1);
}

/// Guards against waiting items that never start when the entry host stops, and against
/// new items that are accepted then.
#[test]
fn a_stopping_scheduler_starts_waiting_items() {
    let mut scheduler = scheduler(&[("a", 1)]);
    let now = Instant::now();
    let due = now + Duration::from_secs(9);
    scheduler.offer(item("a", "feed", due), now).unwrap();
    scheduler.stop();
    assert_eq!(scheduler.offer(item("a", "feed", due), now), Err(Refusal::Stopping));
    assert!(scheduler.start_next(now, |_| true).is_some());
}
