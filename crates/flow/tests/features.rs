//! Gangs, occurrences, the adviser, pacing, labels and bad workers.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use support::spec::{content, job, pool, queue, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, Advice, Content, EndRow, Entry, Fence, Final, Flow, How, Life, Report, Rules, Run,
    RunRow, Schedule, Start, StartAnswer, State, StepSpec, StopReason, TaskId,
};
use vg_jobs::Resources;

/// A leader with workers that the test speaks for.
struct Bench {
    flow: Flow,
    now: Instant,
    wall: SystemTime,
    running: HashMap<HostId, Vec<RunRow>>,
    ends: HashMap<HostId, Vec<EndRow>>,
}

fn worker(at: usize) -> HostId {
    format!("w{at}").parse().unwrap()
}

impl Bench {
    /// Workers of pool `a`, two a rack.
    fn new(workers: usize, content: Content) -> Bench {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(5000);
        let mut flow = Flow::new(Rules::default(), Fence(3), Arc::new(content), now);
        let mut running = HashMap::new();
        for at in 0..workers {
            let life =
                Life { id: worker(at), born: 1, pool: pool("a"), addr: ([127, 0, 0, 1], 1).into() };
            let entry = Entry {
                life,
                zone: "z".parse().unwrap(),
                draining: false,
                capacity: Resources::new(16_000, 32 << 30, 0),
                labels: vec![format!("kind-{}", at % 2).into(), format!("r{}", at / 2).into()],
                machine: None,
            };
            flow.register(&entry, now);
            running.insert(worker(at), Vec::new());
        }
        let lives = flow.lives(now, wall);
        flow.recorded(&lives);
        let mut bench = Bench { flow, now, wall, running, ends: HashMap::new() };
        bench.look();
        bench
    }

    fn add(&mut self, id: u128, steps: Vec<StepSpec>) -> JobId {
        let mut spec = (*job("q-a", steps, self.wall)).clone();
        spec.team = None;
        self.flow.add(JobId::new(id), Arc::new(spec), 100, self.now);
        JobId::new(id)
    }

    fn look(&mut self) {
        for (id, rows) in &self.running {
            if self.flow.renewal(id, self.now).is_none() {
                continue;
            }
            let report = Report {
                born: Some(1),
                clock: 1000,
                running: rows.clone(),
                ended: self.ends.get(id).cloned().unwrap_or_default(),
            };
            let sent = self.now - Duration::from_millis(1);
            self.flow.observe(id, &report, sent, self.now);
        }
    }

    fn pass(&mut self, ms: u64) -> Vec<Action> {
        self.now += Duration::from_millis(ms);
        self.wall += Duration::from_millis(ms);
        self.look();
        self.flow.plan(self.now, self.wall)
    }

    /// Carries out starts and returns them.
    fn accept(&mut self, actions: Vec<Action>) -> Vec<Start> {
        let mut starts = Vec::new();
        for action in actions {
            let Action::Start(start) = action else { continue };
            self.running.get_mut(&start.life.id).unwrap().push(RunRow {
                task: start.task,
                run: start.run,
                saved: SmolStr::default(),
                percent: 1,
                gauge: 0.0,
            });
            self.flow.start_answered(start.task, start.run, StartAnswer::Started, self.now);
            starts.push(start);
        }
        starts
    }

    fn end(&mut self, start: &Start, how: How) {
        let id = start.life.id.clone();
        self.running.get_mut(&id).unwrap().retain(|row| row.task != start.task);
        let ends = self.ends.entry(id).or_default();
        let number = ends.len() as u64 + 1;
        let saved = SmolStr::default();
        ends.push(EndRow { number, task: start.task, run: start.run, how, saved });
    }
}

fn stops(actions: &[Action]) -> Vec<(TaskId, Run, StopReason)> {
    let stop = |action: &Action| match action {
        Action::Stop { task, run, reason, .. } => Some((*task, *run, *reason)),
        _ => None,
    };
    actions.iter().filter_map(stop).collect()
}

#[test]
fn a_gang_starts_as_a_whole_on_one_rack_with_one_run_number() {
    let mut bench = Bench::new(4, content());
    bench.add(1, vec![StepSpec { gang: true, same_rack: true, ..step(3, 9000, 500) }]);
    // Two fit on a rack of two workers: three don't, so they go anywhere.
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.run == starts[0].run));
    // One end stands for all members.
    bench.end(&starts[1], How::Done);
    bench.pass(10);
    let sweep = bench.flow.sweep();
    bench.flow.swept(&sweep);
    assert!(sweep.records.iter().any(|record| record.job == JobId::new(1)));
}

#[test]
fn a_gang_that_does_not_fit_waits_and_takes_no_room() {
    let mut bench = Bench::new(2, content());
    bench.add(1, vec![StepSpec { gang: true, ..step(3, 12_000, 500) }]);
    let actions = bench.pass(10);
    assert!(bench.accept(actions).is_empty());
    let other = bench.add(2, vec![step(2, 12_000, 500)]);
    let actions = bench.pass(10);
    assert!(bench.accept(actions).iter().all(|start| start.task.step.job == other));
}

#[test]
fn members_are_stopped_before_they_give_up_on_a_missing_one() {
    let mut bench = Bench::new(4, content());
    bench.add(1, vec![StepSpec { gang: true, ..step(3, 9000, 500) }]);
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    let first = &starts[0];
    bench.end(first, How::Stopped);
    let actions = bench.pass(50);
    let stopped = stops(&actions);
    assert_eq!(stopped.len(), 2);
    assert!(stopped.iter().all(|(.., reason)| *reason == StopReason::GangIncomplete));
}

#[test]
fn occurrences_start_at_their_time_and_the_job_ends_with_the_last() {
    let mut bench = Bench::new(2, content());
    let first = bench.wall + Duration::from_secs(2);
    let mut spec = (*job("q-a", vec![step(1, 1000, 100)], bench.wall)).clone();
    spec.team = None;
    spec.schedule = Some(Schedule { first, interval: Duration::from_secs(3), times: 2 });
    let id = JobId::new(7);
    bench.flow.add(id, Arc::new(spec), 100, bench.now);
    let actions = bench.pass(1500);
    assert!(bench.accept(actions).is_empty(), "more than a quarter of a second early");
    for round in 0..2 {
        let wait = if round == 0 { 500 } else { 3000 };
        let actions = bench.pass(wait);
        let starts = bench.accept(actions);
        assert_eq!(starts.len(), 1, "occurrence {round}");
        assert_eq!(starts[0].task.step.round, round);
        assert_eq!(bench.flow.state(id), Some(State::Running));
        bench.end(&starts[0], How::Done);
        bench.pass(10);
    }
    let sweep = bench.flow.sweep();
    bench.flow.swept(&sweep);
    assert_eq!(bench.flow.state(id), None, "its end is durable and it has no runs");
}

#[test]
fn steps_wait_for_the_adviser_and_carry_its_permission() {
    let mut advised = content();
    let times = Advice {
        base: Duration::from_millis(20),
        each: Duration::from_millis(5),
        valid: Duration::from_secs(3),
    };
    advised.queues.get_mut(&queue("q-a")).unwrap().advice = Some(times);
    let mut bench = Bench::new(3, advised);
    bench.add(1, vec![step(2, 1000, 500)]);
    let actions = bench.pass(10);
    let Some(Action::Ask { step, workers }) = actions.first() else { panic!("{actions:?}") };
    assert_eq!(workers.len(), 3);
    assert!(bench.pass(10).is_empty(), "one question at a time, and no start before");
    let good = vec![(worker(1), SmolStr::from("ticket-1"))];
    let (step, workers, now) = (*step, workers.clone(), bench.now);
    bench.flow.advised(step, &workers, Some(&good), times.valid, now);
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.life.id == worker(1) && start.ticket == "ticket-1"));
}

#[test]
fn labels_and_racks_of_data_are_kept_to() {
    let mut bench = Bench::new(4, content());
    bench.add(1, vec![StepSpec { label: Some("kind-1".into()), ..step(3, 1000, 500) }]);
    bench.add(2, vec![StepSpec { rack: Some("r1".into()), ..step(2, 1000, 500) }]);
    let actions = bench.pass(10);
    for start in bench.accept(actions) {
        let at = start.life.id.as_str()[1..].parse::<usize>().unwrap();
        match start.task.step.job.value() {
            1 => assert_eq!(at % 2, 1, "{start:?}"),
            _ => assert_eq!(at / 2, 1, "{start:?}"),
        }
    }
}

#[test]
fn filling_tasks_are_slowed_while_a_serving_one_is_near_its_target() {
    let mut bench = Bench::new(1, content());
    let target = Some(Duration::from_millis(100));
    bench.add(1, vec![StepSpec { lasting: true, target, ..step(1, 4000, 0) }]);
    bench.add(2, vec![StepSpec { lasting: true, fills: true, ..step(1, 4000, 0) }]);
    let actions = bench.pass(10);
    assert_eq!(bench.accept(actions).len(), 2);
    let set = |bench: &mut Bench, tail: f64| {
        for row in bench.running.values_mut().flatten() {
            row.percent = 100;
            row.gauge = if row.task.step.job == JobId::new(1) { tail } else { 3.0 };
        }
    };
    let paces = |actions: Vec<Action>| -> Vec<u8> {
        let pace = |action: Action| match action {
            Action::Pace { percent, .. } => Some(percent),
            _ => None,
        };
        actions.into_iter().filter_map(pace).collect()
    };
    set(&mut bench, 120.0);
    assert_eq!(paces(bench.pass(100)), vec![60]);
    assert_eq!(paces(bench.pass(100)), Vec::<u8>::new(), "it is given time to show");
    assert_eq!(paces(bench.pass(600)), vec![30]);
    set(&mut bench, 40.0);
    assert_eq!(paces(bench.pass(600)), Vec::<u8>::new());
    assert_eq!(paces(bench.pass(1500)), vec![60]);
}

#[test]
fn a_worker_that_fails_all_rests_and_a_job_that_always_fails_condemns_none() {
    let mut bench = Bench::new(1, content());
    // A job that can't be done fails three times on the only worker.
    bench.add(1, vec![step(1, 1000, 200)]);
    for _ in 0..3 {
        let actions = bench.pass(40);
        let starts = bench.accept(actions);
        assert_eq!(starts.len(), 1);
        bench.end(&starts[0], How::Failed);
        bench.pass(1);
    }
    bench.pass(10);
    let sweep = bench.flow.sweep();
    let failed = vg_flow::RecordKind::End(Final::Failed);
    assert!(sweep.records.iter().any(|record| record.kind == failed));
    bench.flow.swept(&sweep);
    // Two more jobs fail there: three in a row, so it rests.
    bench.add(2, vec![step(1, 1000, 200)]);
    bench.add(3, vec![step(1, 1000, 200)]);
    let actions = bench.pass(40);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 2);
    starts.iter().for_each(|start| bench.end(start, How::Failed));
    bench.pass(1);
    bench.add(4, vec![step(1, 1000, 200)]);
    let actions = bench.pass(100);
    assert!(bench.accept(actions).is_empty());
    let actions = bench.pass(2100);
    assert_eq!(bench.accept(actions).len(), 3);
}

#[test]
fn a_run_without_progress_is_stopped_and_started_elsewhere() {
    let mut bench = Bench::new(2, content());
    bench.add(1, vec![step(1, 1000, 500)]);
    let actions = bench.pass(10);
    let starts = bench.accept(actions);
    let (first, home) = (starts[0].clone(), starts[0].life.id.clone());
    assert!(stops(&bench.pass(800)).is_empty());
    let stopped = stops(&bench.pass(1500));
    assert_eq!(stopped, vec![(first.task, first.run, StopReason::Stalled)]);
    let now = bench.now;
    bench.flow.stop_answered(first.task, first.run, now);
    bench.end(&first, How::Stopped);
    bench.pass(1);
    let actions = bench.pass(100);
    let starts = bench.accept(actions);
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].life.id, home);
    assert!(starts[0].run > first.run);
}
