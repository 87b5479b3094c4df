//! Waves of maintenance: how many machines are out, and what may be ended.

mod support;

use support::spec::{config, job, pool, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, FencingToken, JobSpec, Machine, MachineAnswer, MachineCommand, MachineState,
    OperatorConfig, Report, RunningAttempt, Scheduler, SchedulingRules, StartAnswer, StepSpec,
    Wave, WaveState, WorkerIncarnation, WorkerRegistration,
};
use vg_jobs::Resources;

use std::collections::HashMap;
use std::sync::Arc;

/// Workers of pool `a`, each on a machine of its own, that do what they are told
/// at once.
struct Site {
    scheduler: Scheduler,
    now: Instant,
    wall: SystemTime,
    running: HashMap<HostId, Vec<RunningAttempt>>,
    /// Orders to machines that were given, with their times.
    orders: Vec<(Instant, MachineCommand)>,
    /// When runs were told to stop.
    stops: Vec<Instant>,
    /// Lasting tasks away at the same time, at most.
    most_away: usize,
    /// What becomes of the next orders to machines.
    answer: MachineAnswer,
}

const CAPACITY: Resources = Resources::new(16_000, 32 << 30, 0);

fn entry(at: usize) -> WorkerRegistration {
    WorkerRegistration {
        incarnation: WorkerIncarnation {
            id: format!("w{at}").parse().unwrap(),
            start_ms: 5,
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
        let mut plain = config();
        plain.pools.remove(&pool("spare"));
        let config: Arc<OperatorConfig> = Arc::new(plain);
        let mut scheduler =
            Scheduler::new(SchedulingRules::default(), FencingToken(1), config, now);
        scheduler.end_machine_hold(now);
        let mut running = HashMap::new();
        let mut machines = Vec::new();
        for at in 0..workers {
            let entry = entry(at);
            scheduler.register(&entry, now);
            running.insert(entry.incarnation.id, Vec::new());
            machines.push(machine(at));
        }
        scheduler.set_machine_list(machines);
        let lives = scheduler.incarnation_records(now, wall);
        scheduler.records_written(&lives);
        let answer = MachineAnswer::Done;
        Site {
            scheduler,
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
        let old = std::mem::replace(&mut self.scheduler, Site::new(workers).scheduler);
        let config = Arc::clone(old.config());
        self.scheduler =
            Scheduler::new(SchedulingRules::default(), FencingToken(50), config, self.now);
        self.scheduler.end_machine_hold(self.now);
        let mut machines = Vec::new();
        for at in 0..workers {
            self.scheduler.register(&entry(at), self.now);
            machines.push(machine(at));
        }
        self.scheduler.set_machine_list(machines);
        let lives = self.scheduler.incarnation_records(self.now, self.wall);
        self.scheduler.records_written(&lives);
    }

    fn continuous(&mut self, id: u128, count: u32, max_unavailable: u32) {
        let steps = vec![StepSpec {
            continuous: true,
            max_unavailable: Some(max_unavailable),
            ..step(count, 1000, 0)
        }];
        let spec: Arc<JobSpec> = job("q-a", steps, self.wall);
        self.scheduler.add_job(JobId::new(id), spec, 10, self.now);
    }

    fn wave(&mut self, machines: usize, within: u64, at_once: u32) {
        let machines = (0..machines).map(|at| format!("m{at}").into()).collect();
        let within = Duration::from_secs(within);
        let wave = Wave { number: 1, machines, time_limit: within, max_down: at_once };
        self.scheduler.add_wave(wave, None, false, self.now, self.wall);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now += Duration::from_millis(20);
            self.wall += Duration::from_millis(20);
            self.look();
            for action in self.scheduler.plan(self.now, self.wall) {
                self.carry_out(action);
            }
        }
    }

    fn look(&mut self) {
        let mut at_work = 0;
        for (id, rows) in &mut self.running {
            let Some(renewal) = self.scheduler.renewal(id, self.now) else { continue };
            for row in rows.iter_mut() {
                row.percent = (row.percent + 4).min(100);
                at_work += usize::from(row.percent == 100);
            }
            let report = Report {
                start_ms: Some(renewal.incarnation.start_ms),
                clock_ms: renewal.deadline_ms.unwrap_or(4000).saturating_sub(4000) + 1,
                running: rows.clone(),
                ended: Vec::new(),
            };
            let sent = self.now - Duration::from_millis(1);
            self.scheduler.apply_report(id, &report, sent, self.now);
        }
        let all: usize = self.running.values().map(Vec::len).sum();
        self.most_away = self.most_away.max(all.max(at_work) - at_work);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(start) => {
                let rows = self.running.get_mut(&start.incarnation.id).unwrap();
                rows.push(RunningAttempt {
                    task: start.task,
                    attempt: start.attempt,
                    checkpoint: SmolStr::default(),
                    percent: 0,
                    gauge: 0.0,
                });
                self.scheduler.start_answered(
                    start.task,
                    start.attempt,
                    StartAnswer::Started,
                    self.now,
                );
            }
            Action::Stop { incarnation, task, attempt, .. } => {
                let rows = self.running.get_mut(&incarnation.id).unwrap();
                rows.retain(|row| row.task != task || row.attempt != attempt);
                self.stops.push(self.now);
                self.scheduler.stop_answered(task, attempt, self.now);
            }
            Action::Machine(order) => {
                self.orders.push((self.now, order.clone()));
                self.scheduler.machine_answered(&order, self.answer, self.now);
            }
            Action::Throttle { .. } | Action::AskAdviser { .. } => {}
        }
    }

    fn maintained(&self) -> usize {
        let of_wave = |order: &MachineCommand| matches!(order, MachineCommand::Maintain { .. });
        self.orders.iter().filter(|(_, order)| of_wave(order)).count()
    }

    /// Most maintenance orders within the time that a machine is down.
    fn most_at_once(&self) -> usize {
        let down = SchedulingRules::default().maintain_time;
        let within = |from: &Instant| {
            self.orders.iter().filter(|(at, _)| at >= from && *at < *from + down).count()
        };
        self.orders.iter().map(|(at, _)| within(at)).max().unwrap_or_default()
    }
}

#[test]
fn lasting_tasks_leave_within_their_budget_before_their_machine_goes() {
    let mut site = Site::new(8);
    site.continuous(1, 5, 1);
    site.continuous(2, 4, 1);
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
    let states =
        |scheduler: &mut Scheduler| scheduler.take_wave_changes().map(|changes| changes[0].1);
    assert_eq!(states(&mut site.scheduler), Some(WaveState::Running));
    site.run(20_000);
    assert_eq!(site.maintained(), 3);
    assert_eq!(states(&mut site.scheduler), Some(WaveState::Complete));
    assert_eq!(states(&mut site.scheduler), None);
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
    assert!(again >= SchedulingRules::default().maintain_time, "{again:?}");
}

#[test]
fn a_new_leader_orders_no_machine_whose_worker_it_has_not_heard() {
    let mut site = Site::new(4);
    let now = site.now;
    let config = Arc::clone(site.scheduler.config());
    let mut scheduler = Scheduler::new(SchedulingRules::default(), FencingToken(9), config, now);
    scheduler.end_machine_hold(now);
    let id: HostId = "w0".parse().unwrap();
    scheduler.register(&entry(0), now);
    scheduler.poll_failed(&id, now);
    site.scheduler = scheduler;
    site.scheduler.set_machine_list(vec![machine(0)]);
    site.running.clear();
    site.wave(1, 6, 1);
    site.run(5000);
    assert_eq!(site.maintained(), 0);
}

#[test]
fn a_new_leader_ends_no_lasting_task_beside_runs_that_may_be_stopping() {
    let mut site = Site::new(6);
    site.continuous(1, 5, 1);
    site.run(3000);
    site.change_leader(6);
    let steps = vec![StepSpec { continuous: true, max_unavailable: Some(1), ..step(5, 1000, 0) }];
    let spec: Arc<JobSpec> = job("q-a", steps, site.wall);
    site.scheduler.add_job(JobId::new(1), spec, 10, site.now);
    site.wave(6, 8, 6);
    let taken_over = site.now;
    site.run(3000);
    // The earlier leader's stops are seen within the time that a stop takes.
    let first = site.stops.first().copied().unwrap();
    assert!(first - taken_over > SchedulingRules::default().stop_time, "{:?}", first - taken_over);
}
