//! Commands to machines: what the leader has to know of a machine before it takes
//! the machine away.

mod support;

use support::spec::{config, job, pool, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, AttemptNumber, FencingToken, Machine, MachineAnswer, MachineCommand, MachineState,
    PollFailure, Report, RunningAttempt, Scheduler, SchedulingRules, StartAnswer, StepId, StepSpec,
    TaskId, Wave, WorkerIncarnation, WorkerRegistration,
};
use vg_jobs::Resources;

use std::sync::Arc;

const CAPACITY: Resources = Resources::new(16_000, 32 << 30, 0);
const TOKEN: FencingToken = FencingToken(20);

/// A leader, the clock, and the commands to machines that it has decided.
struct Fixture {
    scheduler: Scheduler,
    now: Instant,
    commands: Vec<MachineCommand>,
    /// Attempts that were started: worker and what it reports.
    running: Vec<(HostId, RunningAttempt)>,
    stops: usize,
    /// Revision of the store.
    revision: u64,
    start_answer: StartAnswer,
    /// Answer to each command to a machine; `None`: the commands are not answered yet.
    machine_answer: Option<MachineAnswer>,
}

fn machine(id: &str, in_pool: &str) -> Machine {
    Machine {
        id: id.into(),
        pool: pool(in_pool),
        state: MachineState::Up,
        capacity: CAPACITY,
        zone: None,
    }
}

impl Fixture {
    fn new() -> Fixture {
        let now = Instant::now();
        let mut scheduler =
            Scheduler::new(SchedulingRules::default(), TOKEN, Arc::new(config()), now);
        scheduler.end_machine_hold(now);
        Fixture {
            scheduler,
            now,
            commands: Vec::new(),
            running: Vec::new(),
            stops: 0,
            revision: TOKEN.0,
            start_answer: StartAnswer::Started,
            machine_answer: Some(MachineAnswer::Done),
        }
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1000)
    }

    /// Registers a worker and makes it usable.
    fn join(&mut self, id: &str, in_pool: &str, on: &str, start_ms: u64) {
        let registration = WorkerRegistration {
            incarnation: WorkerIncarnation {
                id: id.parse().unwrap(),
                start_ms,
                pool: pool(in_pool),
                addr: ([127, 0, 0, 1], 1).into(),
            },
            zone: "z".parse().unwrap(),
            draining: false,
            capacity: CAPACITY,
            labels: vec!["r1".into()],
            machine: Some(on.into()),
            cold_left: Duration::ZERO,
        };
        self.scheduler.register(&registration, self.now);
        let records = self.scheduler.incarnation_records(self.now);
        self.revision += 1;
        self.scheduler.records_written(&records, FencingToken(self.revision));
        self.poll(id, start_ms);
    }

    /// Applies a report of what runs on a worker, and sends the next poll.
    fn poll(&mut self, id: &str, start_ms: u64) {
        let id: HostId = id.parse().unwrap();
        self.scheduler.renewal(&id, self.now);
        let here = self.running.iter().filter(|(on, _)| *on == id);
        let report = Report {
            start_ms: Some(start_ms),
            clock_ms: 10_000,
            running: here.map(|(_, attempt)| attempt.clone()).collect(),
            ended: Vec::new(),
        };
        self.scheduler.apply_report(&id, &report, self.now, self.now);
        self.scheduler.renewal(&id, self.now);
    }

    fn submit(&mut self, number: u128, queue: &str, steps: Vec<StepSpec>) {
        let mut spec = (*job(queue, steps, self.wall())).clone();
        spec.team = None;
        self.scheduler.add_job(JobId::new(number), Arc::new(spec), 100, self.now);
    }

    /// Makes one round of decisions after `ms`.
    fn round(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        for action in self.scheduler.plan(self.now, self.wall()) {
            match action {
                Action::Start(start) => {
                    let attempt = RunningAttempt {
                        task: start.task,
                        attempt: start.attempt,
                        checkpoint: SmolStr::default(),
                        percent: 100,
                        gauge: 0.0,
                    };
                    self.running.push((start.incarnation.id, attempt));
                    let answer = self.start_answer;
                    self.scheduler.start_answered(start.task, start.attempt, answer, self.now);
                }
                Action::Machine(command) => {
                    if let Some(answer) = self.machine_answer {
                        self.scheduler.machine_answered(&command, answer, self.now);
                    }
                    self.commands.push(command);
                }
                Action::Stop { .. } => self.stops += 1,
                Action::Throttle { .. } | Action::AskAdviser { .. } => {}
            }
        }
    }

    fn commands_to(&self, machine: &str) -> usize {
        self.commands.iter().filter(|command| command.machine() == machine).count()
    }
}

fn continuous(count: u32) -> StepSpec {
    StepSpec { continuous: true, max_unavailable: Some(0), ..step(count, 12_000, 0) }
}

/// Guards against a machine that is taken from its tasks because a list of machines
/// that was asked for before it moved still shows it in the spare pool.
#[test]
fn a_list_from_before_a_move_takes_no_machine_from_its_tasks() {
    let mut fixture = Fixture::new();
    let asked = fixture.now;
    let list = vec![machine("m1", "spare")];
    fixture.scheduler.set_machine_list(list.clone(), asked);
    fixture.submit(1, "q-a", vec![continuous(1)]);
    fixture.round(20);
    assert_eq!(fixture.commands_to("m1"), 1, "{:?}", fixture.commands);
    fixture.now += Duration::from_millis(1600);
    fixture.join("w1", "a", "m1", 1600);
    fixture.round(20);
    assert_eq!(fixture.running.len(), 1);
    fixture.poll("w1", 1600);
    // The answer with the old list took this long.
    fixture.scheduler.set_machine_list(list, asked);
    fixture.submit(2, "q-b", vec![step(4, 8000, 2000)]);
    for _ in 0..20 {
        fixture.round(20);
        fixture.poll("w1", 1600);
    }
    assert_eq!(fixture.commands_to("m1"), 1, "{:?}", fixture.commands);
}

/// Guards against a task that runs twice: the answer to a move is applied late, and ends the
/// attempts of the worker that the move has brought.
#[test]
fn a_late_answer_to_a_move_ends_no_task_of_the_worker_that_it_brought() {
    let mut fixture = Fixture::new();
    fixture.machine_answer = None;
    fixture.scheduler.set_machine_list(vec![machine("m1", "spare")], fixture.now);
    fixture.submit(1, "q-a", vec![step(1, 12_000, 20_000)]);
    fixture.round(20);
    let command = fixture.commands[0].clone();
    fixture.now += Duration::from_millis(1600);
    fixture.join("w1", "a", "m1", 1600);
    fixture.round(20);
    fixture.poll("w1", 1600);
    fixture.scheduler.machine_answered(&command, MachineAnswer::Done, fixture.now);
    fixture.join("w2", "a", "m2", 1600);
    for _ in 0..20 {
        fixture.round(20);
        fixture.poll("w1", 1600);
    }
    assert_eq!(fixture.running.len(), 1, "{:?}", fixture.running);
}

/// Guards against a task that is started again although its machine was not taken away: its
/// worker still answers after a command was said to be done.
#[test]
fn a_worker_that_answers_after_a_command_to_its_machine_has_its_tasks() {
    let mut fixture = Fixture::new();
    fixture.scheduler.set_machine_list(vec![machine("m1", "a"), machine("m2", "a")], fixture.now);
    fixture.join("w1", "a", "m1", 100);
    fixture.submit(1, "q-a", vec![step(1, 12_000, 20_000)]);
    fixture.round(20);
    fixture.poll("w1", 100);
    let wave = Wave {
        number: 1,
        machines: vec!["m1".into()],
        time_limit: Duration::from_secs(3),
        max_down: 1,
    };
    fixture.scheduler.add_wave(wave, None, fixture.now, fixture.wall());
    fixture.join("w2", "a", "m2", 100);
    for _ in 0..20 {
        (0..10).for_each(|_| fixture.round(20));
        fixture.poll("w1", 100);
        fixture.poll("w2", 100);
    }
    assert!(fixture.commands_to("m1") > 0);
    assert_eq!(fixture.running.len(), 1, "{:?}", fixture.running);
}

/// Has machine `m1` maintained while worker `w1` is on it, and lets another worker, which came
/// before the answer, run a task. Returns the fixture and the command.
fn busy_after_maintenance() -> (Fixture, MachineCommand) {
    let mut fixture = Fixture::new();
    fixture.scheduler.set_machine_list(vec![machine("m1", "a"), machine("m2", "a")], fixture.now);
    fixture.join("w1", "a", "m1", 100);
    fixture.machine_answer = None;
    let wave = Wave {
        number: 1,
        machines: vec!["m1".into()],
        time_limit: Duration::from_secs(30),
        max_down: 1,
    };
    fixture.scheduler.add_wave(wave, None, fixture.now, fixture.wall());
    while fixture.commands_to("m1") == 0 {
        fixture.round(20);
        fixture.poll("w1", 100);
    }
    let id = "w1".parse().unwrap();
    let poll = fixture.scheduler.renewal(&id, fixture.now).unwrap();
    fixture.scheduler.poll_failed(&poll, PollFailure::Broken, fixture.now);
    fixture.now += Duration::from_millis(1600);
    fixture.join("w3", "a", "m1", 1700);
    fixture.submit(1, "q-a", vec![step(1, 12_000, 20_000)]);
    // An earlier leader has started it there.
    let step = StepId { job: JobId::new(1), occurrence: 0, step: 0 };
    let attempt = RunningAttempt {
        task: TaskId { step, index: 0 },
        attempt: AttemptNumber(1),
        checkpoint: SmolStr::default(),
        percent: 100,
        gauge: 0.0,
    };
    fixture.running.push(("w3".parse().unwrap(), attempt));
    let command = fixture.commands[0].clone();
    (fixture, command)
}

/// Guards against a task that runs twice: the answer to a command is late, and the worker that
/// has come since is cut off and not the one that the command was decided for.
#[test]
fn a_late_answer_ends_no_task_of_a_later_worker_that_is_cut_off() {
    let (mut fixture, command) = busy_after_maintenance();
    for _ in 0..10 {
        fixture.round(20);
        fixture.poll("w3", 1700);
    }
    assert_eq!(fixture.running.len(), 1);
    let id = "w3".parse().unwrap();
    let poll = fixture.scheduler.renewal(&id, fixture.now).unwrap();
    fixture.scheduler.poll_failed(&poll, PollFailure::Silent, fixture.now);
    fixture.scheduler.machine_answered(&command, MachineAnswer::Done, fixture.now);
    fixture.join("w2", "a", "m2", 100);
    for _ in 0..50 {
        fixture.round(20);
        fixture.poll("w2", 100);
    }
    assert_eq!(fixture.running.len(), 1, "{:?}", fixture.running);
}

/// Guards against a machine that is taken from its tasks because an earlier worker on
/// it, whose registration has not lapsed yet, is idle.
#[test]
fn an_earlier_worker_on_a_machine_does_not_hide_the_tasks_of_the_later_one() {
    let mut fixture = Fixture::new();
    fixture.scheduler.set_machine_list(vec![machine("m1", "a")], fixture.now);
    fixture.join("w-old", "a", "m1", 100);
    let renewal = fixture.scheduler.renewal(&"w-old".parse().unwrap(), fixture.now).unwrap();
    fixture.scheduler.poll_failed(&renewal, PollFailure::Silent, fixture.now);
    fixture.now += Duration::from_millis(5000);
    fixture.join("w-new", "a", "m1", 5000);
    fixture.submit(1, "q-a", vec![continuous(1)]);
    fixture.round(20);
    assert_eq!(fixture.running[0].0.as_str(), "w-new");
    let wave = vg_flow::Wave {
        number: 1,
        machines: vec!["m1".into()],
        time_limit: Duration::from_secs(8),
        max_down: 1,
    };
    fixture.scheduler.add_wave(wave, None, fixture.now, fixture.wall());
    for _ in 0..100 {
        fixture.round(20);
        fixture.poll("w-new", 5000);
    }
    assert_eq!(fixture.commands_to("m1"), 0, "{:?}", fixture.commands);
}

/// Guards against a continuous task that is stopped although it works, because the
/// answer to its start was lost or came late.
#[test]
fn a_continuous_task_whose_start_was_not_answered_is_left_running() {
    let mut fixture = Fixture::new();
    fixture.join("w1", "a", "m1", 100);
    fixture.start_answer = StartAnswer::Unanswered;
    fixture.submit(1, "q-a", vec![continuous(1)]);
    fixture.round(20);
    assert_eq!(fixture.running.len(), 1);
    for _ in 0..20 {
        fixture.round(20);
        fixture.poll("w1", 100);
    }
    assert_eq!((fixture.stops, fixture.running.len()), (0, 1));
}

/// Guards against a lease that lapses: after a refused command to its machine a worker
/// has a poll open that renews nothing, and a task that starts then has only the short
/// lease of its start.
#[test]
fn a_task_starts_only_on_a_worker_whose_lease_is_being_renewed() {
    let mut fixture = Fixture::new();
    fixture.machine_answer = Some(MachineAnswer::Limited);
    let workers = [("w1", "m1"), ("w2", "m2"), ("w3", "m3"), ("w4", "m4"), ("w5", "m5")];
    for (id, on) in workers {
        fixture.join(id, "a", on, 5);
    }
    let list = workers.map(|(_, on)| machine(on, "a"));
    fixture.scheduler.set_machine_list(list.to_vec(), fixture.now);
    (0..20).for_each(|_| fixture.round(100));
    let commanded = fixture.commands.last().expect("a command to an idle machine").machine();
    let (id, _) = workers.into_iter().find(|(_, on)| commanded == on).unwrap();

    // The report allows the record to be written again. The poll that follows is sent
    // before that is done, and stays open at the worker.
    fixture.now += Duration::from_secs(1);
    workers.iter().for_each(|(id, _)| fixture.poll(id, 5));
    let worker: HostId = id.parse().unwrap();
    let open = fixture.scheduler.renewal(&worker, fixture.now);
    assert!(open.is_some_and(|open| open.deadline_ms.is_none()));
    let records = fixture.scheduler.incarnation_records(fixture.now);
    fixture.scheduler.records_written(&records, fixture.scheduler.token());

    fixture.submit(1, "q-a", vec![continuous(5)]);
    fixture.round(1);
    let started = |fixture: &Fixture| fixture.running.iter().any(|(on, _)| *on == worker);
    assert!(!started(&fixture), "started without a lease that is being renewed");
    let renewal = fixture.scheduler.renewal(&worker, fixture.now).unwrap();
    assert!(renewal.deadline_ms.is_some());
    fixture.round(1);
    assert!(started(&fixture));
}

/// Guards against a continuous task that stays away: the free capacity of its pool is
/// enough for it, but is spread over machines that each have too little.
#[test]
fn a_continuous_task_without_a_place_gets_a_machine() {
    let mut fixture = Fixture::new();
    let mut list = vec![machine("s1", "spare"), machine("s2", "spare")];
    for at in 0..8 {
        let (id, on, in_pool) =
            (format!("w{at}"), format!("m{at}"), if at < 4 { "a" } else { "b" });
        fixture.join(&id, in_pool, &on, 5);
        list.push(machine(&on, in_pool));
    }
    fixture.scheduler.set_machine_list(list, fixture.now);
    let step = StepSpec { continuous: true, ..step(5, 9000, 0) };
    fixture.submit(1, "q-a", vec![step]);
    (0..10).for_each(|_| fixture.round(50));
    assert_eq!(fixture.running.len(), 4);
    let moves: Vec<_> = fixture.commands.iter().map(|command| command.to_string()).collect();
    assert_eq!(moves, ["move machine=s1 pool=a"]);
}

/// Guards against a wave that takes machines from the pools that need them: while a
/// wave runs, machines that await no maintenance move first, and the others have theirs
/// in the spare pool.
#[test]
fn machines_that_await_maintenance_stay_in_the_spare_pool() {
    let mut fixture = Fixture::new();
    let names: Vec<String> = (0..12).map(|at| format!("s{at:02}")).collect();
    let list = names.iter().map(|name| machine(name, "spare"));
    fixture.scheduler.set_machine_list(list.collect(), fixture.now);
    let due: Vec<SmolStr> = names[..6].iter().map(SmolStr::from).collect();
    let wave =
        Wave { number: 1, machines: due.clone(), time_limit: Duration::from_secs(60), max_down: 1 };
    fixture.scheduler.add_wave(wave, None, fixture.now, fixture.wall());
    fixture.round(50);
    let moved: Vec<_> = fixture
        .commands
        .iter()
        .filter(|command| matches!(command, MachineCommand::Move { .. }))
        .map(|command| command.machine().clone())
        .collect();
    assert!(moved.len() >= 6, "{moved:?}");
    assert!(moved[..6].iter().all(|machine| !due.contains(machine)), "{moved:?}");
}

/// Guards against machines that serve no pool any more once they have had their maintenance:
/// they counted as down for good.
#[test]
fn machines_that_are_back_from_maintenance_move_to_the_pools_that_need_them() {
    let mut fixture = Fixture::new();
    let names: Vec<SmolStr> = (0..12).map(|at| format!("s{at:02}").into()).collect();
    let list = names.iter().map(|name| machine(name, "spare"));
    fixture.scheduler.set_machine_list(list.collect(), fixture.now);
    let wave =
        Wave { number: 1, machines: names, time_limit: Duration::from_secs(6), max_down: 12 };
    fixture.scheduler.add_wave(wave, None, fixture.now, fixture.wall());
    (0..100).for_each(|_| fixture.round(50));
    let back = fixture.commands.iter().map(|command| machine(command.machine(), "spare"));
    let back = back.collect();
    fixture.scheduler.set_machine_list(back, fixture.now);
    (0..100).for_each(|_| fixture.round(50));
    let (maintained, moved): (Vec<_>, Vec<_>) = fixture
        .commands
        .iter()
        .partition(|command| matches!(command, MachineCommand::Maintain { .. }));
    assert_eq!(maintained.len(), 12);
    assert!(!moved.is_empty(), "no machine goes to a pool");
}

/// Guards against machines that are lost to their pool: the service that moves machines
/// did not answer, and their workers go on.
#[test]
fn a_worker_that_answers_after_an_unanswered_move_gets_work_again() {
    let mut fixture = Fixture::new();
    fixture.machine_answer = Some(MachineAnswer::Unanswered);
    let ids: Vec<String> = (0..8).map(|at| format!("w{at}")).collect();
    let list = ids.iter().map(|id| machine(&id.replace('w', "m"), "a")).collect();
    ids.iter().for_each(|id| fixture.join(id, "a", &id.replace('w', "m"), 5));
    fixture.scheduler.set_machine_list(list, fixture.now);
    (0..20).for_each(|_| fixture.round(50));
    assert!(!fixture.commands.is_empty());
    fixture.now += Duration::from_millis(100);
    ids.iter().for_each(|id| fixture.poll(id, 5));
    let records = fixture.scheduler.incarnation_records(fixture.now);
    fixture.scheduler.records_written(&records, fixture.scheduler.token());
    ids.iter().for_each(|id| fixture.poll(id, 5));
    fixture.submit(1, "q-a", vec![step(3, 12_000, 1000)]);
    fixture.submit(2, "q-a", vec![continuous(6)]);
    fixture.round(20);
    // The move may still be carried out, so that continuous tasks wait until it can not.
    let on_commanded = |fixture: &Fixture, job: u128| {
        let running = fixture.running.iter();
        let of_job = running.filter(|(_, attempt)| attempt.task.step.job == JobId::new(job));
        of_job.filter(|(id, _)| fixture.commands_to(&id.as_str().replace('w', "m")) > 0).count()
    };
    assert_eq!((on_commanded(&fixture, 1), on_commanded(&fixture, 2)), (3, 0));
}

/// Guards against machines that nobody can use while the service that moves them does
/// not answer: until it does, only one command at a time is sent.
#[test]
fn one_command_at_a_time_is_sent_to_a_service_that_does_not_answer() {
    for answer in [MachineAnswer::Unanswered, MachineAnswer::Limited] {
        let mut fixture = Fixture::new();
        let mut list: Vec<_> = (0..30).map(|at| machine(&format!("s{at}"), "spare")).collect();
        for at in 0..8 {
            let (on, in_pool) = (format!("m{at}"), if at < 4 { "a" } else { "b" });
            fixture.join(&format!("w{at}"), in_pool, &on, 5);
            list.push(machine(&on, in_pool));
        }
        fixture.scheduler.set_machine_list(list.clone(), fixture.now);
        fixture.machine_answer = Some(answer);
        fixture.submit(1, "q-a", vec![step(60, 8000, 1000)]);
        fixture.round(50);
        fixture.round(50);
        let first = fixture.commands.len();
        assert!(first > 10, "{first}");
        // The list shows that nothing has moved.
        fixture.now += Duration::from_millis(20);
        fixture.scheduler.set_machine_list(list, fixture.now);
        fixture.round(50);
        assert_eq!(fixture.commands.len(), first + 1, "{answer}");
        fixture.machine_answer = Some(MachineAnswer::Done);
        fixture.round(3000);
        fixture.round(50);
        assert!(fixture.commands.len() > first + 10, "{answer}");
    }
}
