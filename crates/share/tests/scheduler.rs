//! Shares, deadlines, floors and refusals, case by case.

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

/// Keeps `backlog` items of each team waiting, runs each for 100 ms, and counts
/// the runs of each team.
fn drive(
    scheduler: &mut Scheduler,
    senders: &[(&str, &[&str])],
    seconds: u64,
    mut may_start: impl FnMut(&TeamId) -> bool,
) -> BTreeMap<String, usize> {
    const BACKLOG: usize = 60;
    let start = Instant::now();
    let mut running: Vec<(Instant, Ticket, String)> = Vec::new();
    let mut ran = BTreeMap::new();
    for step in 0..seconds * 100 {
        let now = start + Duration::from_millis(step * 10);
        while let Some(at) = running.iter().position(|(end, ..)| *end <= now) {
            let (_, ticket, team) = running.swap_remove(at);
            scheduler.finish(ticket, now);
            *ran.entry(team).or_insert(0) += 1;
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
                // Urgent work is always on its last call.
                let due = if queue == "urgent" { 400 } else { 8000 };
                let due = now + Duration::from_millis(due);
                let _ = scheduler.offer(item(team, queue, due), now);
            }
        }
        while running.len() < SLOTS as usize {
            let Some((ticket, item)) = scheduler.start_next(now, &mut may_start) else { break };
            // Ends are spread, as they are in life.
            let end = now + Duration::from_millis(60 + (step * 7 + running.len() as u64 * 13) % 80);
            running.push((end, ticket, item.team.to_string()));
        }
        scheduler.expire(now);
    }
    ran
}

fn part(ran: &BTreeMap<String, usize>, team: &str) -> f64 {
    ran.get(team).copied().unwrap_or(0) as f64 / ran.values().sum::<usize>() as f64
}

#[test]
fn slots_go_by_share_when_the_pool_is_full() {
    let mut scheduler = scheduler(&[("a", 3), ("b", 1)]);
    let ran = drive(&mut scheduler, &[("a", &["feed"]), ("b", &["feed"])], 20, |_| true);
    assert!((part(&ran, "a") - 0.75).abs() < 0.02, "{ran:?}");
}

#[test]
fn splitting_over_queues_gains_nothing() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let senders: &[(&str, &[&str])] = &[("a", &["feed", "sync", "urgent"]), ("b", &["feed"])];
    let ran = drive(&mut scheduler, senders, 20, |_| true);
    assert!((part(&ran, "a") - 0.5).abs() < 0.02, "{ran:?}");
}

#[test]
fn false_urgency_gains_at_most_the_credit() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let ran = drive(&mut scheduler, &[("a", &["urgent"]), ("b", &["feed"])], 60, |_| true);
    // The credit is one second of the pool in a minute.
    assert!(part(&ran, "a") - 0.5 < 1.0 / 60.0 + 0.01, "{ran:?}");
}

#[test]
fn what_a_team_leaves_goes_to_the_others() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 9)]);
    let ran = drive(&mut scheduler, &[("a", &["feed"])], 5, |_| true);
    assert_eq!(part(&ran, "a"), 1.0);
    assert!(ran["a"] > 700, "20 slots of 100 ms for 5 s: {ran:?}");
}

#[test]
fn a_team_without_units_holds_nobody_up() {
    let mut scheduler = scheduler(&[("a", 9), ("b", 1)]);
    let senders: &[(&str, &[&str])] = &[("a", &["feed", "urgent"]), ("b", &["feed"])];
    let ran = drive(&mut scheduler, senders, 5, |team| team.as_str() != "a");
    assert_eq!(part(&ran, "b"), 1.0);
}

#[test]
fn background_keeps_its_floor_under_an_urgent_flood() {
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
    assert_eq!(scheduler.stats().background, 1, "5 percent of 20 slots");
}

#[test]
fn urgent_goes_before_the_same_teams_background() {
    let mut scheduler = scheduler(&[("a", 1)]);
    scheduler.configure(PoolRules { floor_percent: 0, ..rules(&[("a", 1)]) });
    let now = Instant::now();
    scheduler.offer(item("a", "feed", now + Duration::from_secs(1)), now).unwrap();
    scheduler.offer(item("a", "urgent", now + Duration::from_secs(9)), now).unwrap();
    let (_, first) = scheduler.start_next(now, |_| true).unwrap();
    assert_eq!(first.queue.as_str(), "urgent");
}

#[test]
fn a_flood_leaves_places_for_other_teams() {
    let mut scheduler = scheduler(&[("a", 1), ("b", 1)]);
    let now = Instant::now();
    let deadline = now + Duration::from_secs(9);
    let offers = (0..2000).map(|_| scheduler.offer(item("a", "feed", deadline), now));
    assert_eq!(offers.filter(Result::is_ok).count(), 600, "two thirds of 900");
    assert!(scheduler.offer(item("b", "feed", deadline), now).is_ok());
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_at_once() {
    let mut scheduler = scheduler(&[("a", 1)]);
    let now = Instant::now();
    let due = now + Duration::from_secs(1);
    let ticket = scheduler.offer(item("a", "urgent", due), now).unwrap();
    let expiry = scheduler.next_expiry().unwrap();
    assert_eq!(expiry, due - Duration::from_millis(100), "leaves room for the declared time");
    assert!(scheduler.expire(expiry).is_empty());
    let refused = scheduler.expire(expiry + Duration::from_millis(1));
    assert!(
        matches!(refused[..], [(found, Refusal::CannotMeetDeadline { .. })] if found == ticket)
    );
    assert_eq!(scheduler.start_next(expiry, |_| true), None);
}

#[test]
fn long_runs_do_not_shut_a_queue_for_good() {
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

#[test]
fn other_rules_keep_what_waits() {
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

#[test]
fn a_stopping_scheduler_serves_what_waits() {
    let mut scheduler = scheduler(&[("a", 1)]);
    let now = Instant::now();
    let due = now + Duration::from_secs(9);
    scheduler.offer(item("a", "feed", due), now).unwrap();
    scheduler.stop();
    assert_eq!(scheduler.offer(item("a", "feed", due), now), Err(Refusal::Stopping));
    assert!(scheduler.start_next(now, |_| true).is_some());
}
