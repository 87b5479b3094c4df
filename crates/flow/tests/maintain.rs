//! Waves of maintenance: how many machines are out, and what may be ended.

mod support;

use support::spec::{content, job, pool, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, Content, Entry, Fence, Flow, JobSpec, Life, Machine, MachineAnswer, MachineOrder,
    MachineState, Report, Rules, RunRow, StartAnswer, StepSpec, Wave, WaveState,
};
use vg_jobs::Resources;

use std::collections::HashMap;
use std::sync::Arc;

/// Workers of pool `a`, each on a machine of its own, that do what they are told
/// at once.
struct Site {
    flow: Flow,
    now: Instant,
    wall: SystemTime,
    running: HashMap<HostId, Vec<RunRow>>,
    /// Orders to machines that were given, with their times.
    orders: Vec<(Instant, MachineOrder)>,
    /// When runs were told to stop.
    stops: Vec<Instant>,
    /// Lasting tasks away at the same time, at most.
    most_away: usize,
    /// What becomes of the next orders to machines.
    answer: MachineAnswer,
}

const CAPACITY: Resources = Resources::new(16_000, 32 << 30, 0);

fn entry(at: usize) -> Entry {
    Entry {
        life: Life {
            id: format!("w{at}").parse().unwrap(),
            born: 5,
            pool: pool("a"),
            addr: ([127, 0, 0, 1], 1).into(),
        },
        zone: "z".parse().unwrap(),
        draining: false,
        capacity: CAPACITY,
        labels: vec!["r1".into()],
        machine: Some(format!("m{at}").into()),
    }
}

fn machine(at: usize) -> Machine {
    Machine {
        id: format!("m{at}").into(),
        pool: pool("a"),
        state: MachineState::Up,
        capacity: CAPACITY,
    }
}

impl Site {
    fn new(workers: usize) -> Site {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1000);
        let mut plain = content();
        plain.pools.remove(&pool("spare"));
        let content: Arc<Content> = Arc::new(plain);
        let mut flow = Flow::new(Rules::default(), Fence(1), content, now);
        flow.hold_no_machines(now);
        let mut running = HashMap::new();
        let mut machines = Vec::new();
        for at in 0..workers {
            let entry = entry(at);
            flow.register(&entry, now);
            running.insert(entry.life.id, Vec::new());
            machines.push(machine(at));
        }
        flow.set_machines(machines);
        let lives = flow.lives(now, wall);
        flow.recorded(&lives);
        let answer = MachineAnswer::Done;
        Site {
            flow,
            now,
            wall,
            running,
            orders: Vec::new(),
            stops: Vec::new(),
            most_away: 0,
            answer,
        }
    }

    /// Lets another leader take over: it knows the jobs and no worker yet.
    fn change_leader(&mut self, workers: usize) {
        let old = std::mem::replace(&mut self.flow, Site::new(workers).flow);
        let content = Arc::clone(old.content());
        self.flow = Flow::new(Rules::default(), Fence(50), content, self.now);
        self.flow.hold_no_machines(self.now);
        let mut machines = Vec::new();
        for at in 0..workers {
            self.flow.register(&entry(at), self.now);
            machines.push(machine(at));
        }
        self.flow.set_machines(machines);
        let lives = self.flow.lives(self.now, self.wall);
        self.flow.recorded(&lives);
    }

    fn lasting(&mut self, id: u128, count: u32, may_miss: u32) {
        let steps =
            vec![StepSpec { lasting: true, may_miss: Some(may_miss), ..step(count, 1000, 0) }];
        let spec: Arc<JobSpec> = job("q-a", steps, self.wall);
        self.flow.add(JobId::new(id), spec, 10, self.now);
    }

    fn wave(&mut self, machines: usize, within: u64, at_once: u32) {
        let machines = (0..machines).map(|at| format!("m{at}").into()).collect();
        let within = Duration::from_secs(within);
        let wave = Wave { number: 1, machines, within, at_once };
        self.flow.add_wave(wave, None, false, self.now, self.wall);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now += Duration::from_millis(20);
            self.wall += Duration::from_millis(20);
            self.look();
            for action in self.flow.plan(self.now, self.wall) {
                self.carry_out(action);
            }
        }
    }

    fn look(&mut self) {
        let mut at_work = 0;
        for (id, rows) in &mut self.running {
            let Some(renewal) = self.flow.renewal(id, self.now) else { continue };
            for row in rows.iter_mut() {
                row.percent = (row.percent + 4).min(100);
                at_work += usize::from(row.percent == 100);
            }
            let report = Report {
                born: Some(renewal.life.born),
                clock: renewal.deadline.unwrap_or(4000).saturating_sub(4000) + 1,
                running: rows.clone(),
                ended: Vec::new(),
            };
            let sent = self.now - Duration::from_millis(1);
            self.flow.observe(id, &report, sent, self.now);
        }
        let all: usize = self.running.values().map(Vec::len).sum();
        self.most_away = self.most_away.max(all.max(at_work) - at_work);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(start) => {
                let rows = self.running.get_mut(&start.life.id).unwrap();
                rows.push(RunRow {
                    task: start.task,
                    run: start.run,
                    saved: SmolStr::default(),
                    percent: 0,
                    gauge: 0.0,
                });
                self.flow.start_answered(start.task, start.run, StartAnswer::Started, self.now);
            }
            Action::Stop { life, task, run, .. } => {
                let rows = self.running.get_mut(&life.id).unwrap();
                rows.retain(|row| row.task != task || row.run != run);
                self.stops.push(self.now);
                self.flow.stop_answered(task, run, self.now);
            }
            Action::Machine(order) => {
                self.orders.push((self.now, order.clone()));
                self.flow.machine_answered(&order, self.answer, self.now);
            }
            Action::Pace { .. } | Action::Ask { .. } => {}
        }
    }

    fn maintained(&self) -> usize {
        let of_wave = |order: &MachineOrder| matches!(order, MachineOrder::Maintain { .. });
        self.orders.iter().filter(|(_, order)| of_wave(order)).count()
    }

    /// Most maintenance orders within the time that a machine is down.
    fn most_at_once(&self) -> usize {
        let down = Rules::default().maintain_time;
        let within = |from: &Instant| {
            self.orders.iter().filter(|(at, _)| at >= from && *at < *from + down).count()
        };
        self.orders.iter().map(|(at, _)| within(at)).max().unwrap_or_default()
    }
}

#[test]
fn lasting_tasks_leave_within_their_budget_before_their_machine_goes() {
    let mut site = Site::new(8);
    site.lasting(1, 5, 1);
    site.lasting(2, 4, 1);
    site.run(3000);
    site.most_away = 0;
    site.wave(4, 40, 4);
    site.run(34_000);
    assert_eq!(site.maintained(), 4);
    // One of each job at most: their starts take half a second.
    assert!(site.most_away <= 2, "{} were away", site.most_away);
}

#[test]
fn no_more_machines_are_down_at_once_than_the_wave_allows() {
    let mut site = Site::new(12);
    site.wave(12, 14, 2);
    site.run(30_000);
    assert_eq!(site.maintained(), 12);
    assert!(site.most_at_once() <= 2, "{} at once", site.most_at_once());
}

#[test]
fn a_wave_with_time_takes_few_machines_at_once() {
    let mut site = Site::new(12);
    site.wave(6, 60, 6);
    site.run(60_000);
    assert_eq!(site.maintained(), 6);
    assert_eq!(site.most_at_once(), 1);
}

#[test]
fn a_wave_is_complete_when_every_machine_has_had_its_turn() {
    let mut site = Site::new(4);
    site.wave(3, 20, 1);
    let states = |flow: &mut Flow| flow.take_wave_changes().map(|changes| changes[0].1);
    assert_eq!(states(&mut site.flow), Some(WaveState::Running));
    site.run(20_000);
    assert_eq!(site.maintained(), 3);
    assert_eq!(states(&mut site.flow), Some(WaveState::Complete));
    assert_eq!(states(&mut site.flow), None);
}

#[test]
fn an_order_without_an_answer_counts_as_under_way_and_is_sent_again() {
    let mut site = Site::new(4);
    site.answer = MachineAnswer::Unanswered;
    site.wave(1, 20, 1);
    site.run(1900);
    assert_eq!(site.maintained(), 1);
    site.answer = MachineAnswer::Done;
    site.run(4000);
    assert_eq!(site.maintained(), 2);
    let again = site.orders[1].0 - site.orders[0].0;
    assert!(again >= Rules::default().maintain_time, "{again:?}");
}

#[test]
fn a_new_leader_orders_no_machine_whose_worker_it_has_not_heard() {
    let mut site = Site::new(4);
    let now = site.now;
    let content = Arc::clone(site.flow.content());
    let mut flow = Flow::new(Rules::default(), Fence(9), content, now);
    flow.hold_no_machines(now);
    let id: HostId = "w0".parse().unwrap();
    flow.register(&entry(0), now);
    flow.unreachable(&id, now);
    site.flow = flow;
    site.flow.set_machines(vec![machine(0)]);
    site.running.clear();
    site.wave(1, 6, 1);
    site.run(5000);
    assert_eq!(site.maintained(), 0);
}

#[test]
fn a_new_leader_ends_no_lasting_task_beside_runs_that_may_be_stopping() {
    let mut site = Site::new(6);
    site.lasting(1, 5, 1);
    site.run(3000);
    site.change_leader(6);
    let steps = vec![StepSpec { lasting: true, may_miss: Some(1), ..step(5, 1000, 0) }];
    let spec: Arc<JobSpec> = job("q-a", steps, site.wall);
    site.flow.add(JobId::new(1), spec, 10, site.now);
    site.wave(6, 8, 6);
    let taken_over = site.now;
    site.run(3000);
    // The earlier leader's stops are seen within the time that a stop takes.
    let first = site.stops.first().copied().unwrap();
    assert!(first - taken_over > Rules::default().stop_time, "{:?}", first - taken_over);
}
