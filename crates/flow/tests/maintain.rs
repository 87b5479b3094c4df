//! Waves of maintenance: how many machines are out of service at once, and
//! which attempts may be stopped.

mod support;

use support::spec::{config, job, pool, step};
use vg_base::prelude::*;
use vg_flow::{
    Action, EarlierCommand, FencingToken, JobSpec, Machine, MachineAnswer, MachineCommand,
    MachineState, OperatorConfig, PollFailure, Report, RunningAttempt, Scheduler, SchedulingRules,
    StartAnswer, StepSpec, TaskId, Wave, WaveRecord, WaveState, WorkerIncarnation,
    WorkerRegistration,
};
use vg_jobs::Resources;

use std::collections::HashMap;
use std::sync::Arc;

/// A pool `a` whose workers, each on its own machine, execute every command at
/// once.
struct TestFleet {
    scheduler: Scheduler,
    now: Instant,
    wall: SystemTime,
    running: HashMap<HostId, Vec<RunningAttempt>>,
    /// Commands to machines, and when they were sent.
    commands: Vec<(Instant, MachineCommand)>,
    /// When attempts were told to stop.
    stop_times: Vec<Instant>,
    /// How often each task was told to stop.
    stopped: HashMap<TaskId, usize>,
    /// Maximum number of continuous tasks that were unavailable at the same
    /// time.
    most_unavailable: usize,
    /// Answer to all commands to machines from now on.
    answer: MachineAnswer,
    /// How long maintenance takes.
    maintenance: Duration,
    /// Maintenance of machines: from when until when.
    maintained: Vec<(SmolStr, Instant, Instant)>,
    /// Whether the platform lists its machines.
    lists: bool,
    /// Time from the start of a continuous task until it is available.
    startup: Duration,
}

/// Time between two polls of a worker, and between two rounds of decisions.
const ROUND: Duration = Duration::from_millis(20);
/// Rounds between two lists of machines.
const LIST_ROUNDS: usize = 12;
const CAPACITY: Resources = Resources::new(16_000, 32 << 30, 0);

fn registration(at: usize) -> WorkerRegistration {
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
        cold_left: Duration::ZERO,
    }
}

fn machine(at: usize) -> Machine {
    Machine {
        id: format!("m{at}").into(),
        pool: pool("a"),
        state: MachineState::Up,
        capacity: CAPACITY,
        zone: None,
    }
}

fn wave(machines: usize, limit_secs: u64, max_down: u32) -> Wave {
    let machines = (0..machines).map(|at| format!("m{at}").into()).collect();
    Wave { number: 1, machines, time_limit: Duration::from_secs(limit_secs), max_down }
}

impl TestFleet {
    fn new(workers: usize) -> TestFleet {
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
            let registration = registration(at);
            scheduler.register(&registration, now);
            running.insert(registration.incarnation.id, Vec::new());
            machines.push(machine(at));
        }
        scheduler.set_machine_list(machines, now);
        let records = scheduler.incarnation_records(now);
        scheduler.records_written(&records, scheduler.token());
        let answer = MachineAnswer::Done;
        TestFleet {
            scheduler,
            now,
            wall,
            running,
            commands: Vec::new(),
            stop_times: Vec::new(),
            stopped: HashMap::new(),
            most_unavailable: 0,
            answer,
            maintenance: SchedulingRules::default().maintain_time,
            maintained: Vec::new(),
            lists: true,
            startup: Duration::from_millis(500),
        }
    }

    /// Lets another leader take over, which knows the jobs but no worker yet.
    fn change_leader(&mut self, workers: usize) {
        let old = std::mem::replace(&mut self.scheduler, TestFleet::new(workers).scheduler);
        let config = Arc::clone(old.config());
        self.scheduler =
            Scheduler::new(SchedulingRules::default(), FencingToken(50), config, self.now);
        self.scheduler.end_machine_hold(self.now);
        for at in 0..workers {
            self.scheduler.register(&registration(at), self.now);
        }
        self.list_machines();
        let records = self.scheduler.incarnation_records(self.now);
        self.scheduler.records_written(&records, self.scheduler.token());
    }

    fn continuous(&mut self, id: u128, count: u32, max_unavailable: u32) {
        self.add_continuous(id, count, max_unavailable, None);
    }

    /// Adds a continuous job with at most one task on a worker.
    fn spread(&mut self, id: u128, count: u32, max_unavailable: u32) {
        self.add_continuous(id, count, max_unavailable, Some(1));
    }

    fn add_continuous(
        &mut self,
        id: u128,
        count: u32,
        max_unavailable: u32,
        per_worker: Option<u32>,
    ) {
        let steps = vec![StepSpec {
            continuous: true,
            max_unavailable: Some(max_unavailable),
            per_worker,
            ..step(count, 1000, 0)
        }];
        let mut spec: JobSpec = (*job("q-a", steps, self.wall)).clone();
        spec.team = None;
        self.scheduler.add_job(JobId::new(id), Arc::new(spec), 10, self.now);
    }

    fn add_wave(&mut self, machines: usize, limit_secs: u64, max_down: u32) {
        let wave = wave(machines, limit_secs, max_down);
        self.scheduler.add_wave(wave, None, self.now, self.wall);
    }

    /// Runs until a machine is commanded.
    fn run_to_command(&mut self) -> EarlierCommand {
        let before = self.commands.len();
        while self.commands.len() == before {
            self.run(ROUND.as_millis() as u64);
        }
        let machine = self.commands[before].1.machine().clone();
        EarlierCommand { machine, wave: Some(1), age: Duration::ZERO }
    }

    /// Lets another leader take over that knows the wave and what is recorded of it: the
    /// command and, if it was answered, that the machine has had its maintenance.
    fn change_wave_leader(&mut self, wave: Wave, earlier: &EarlierCommand, answered: bool) {
        self.change_leader(wave.machines.len());
        let done = answered.then(|| earlier.machine.clone()).into_iter().collect();
        let record = WaveRecord { number: 1, first_seen: self.wall, done };
        self.scheduler.add_wave(wave, Some(&record), self.now, self.wall);
        self.scheduler.restore_command(earlier, self.now);
    }

    /// Lets the leader read the list of machines as it is now.
    fn list_machines(&mut self) {
        let mut machines: Vec<_> = (0..self.running.len()).map(machine).collect();
        for each in &mut machines {
            if self.is_in_maintenance(&each.id) {
                each.state = MachineState::Maintenance;
            }
        }
        self.scheduler.set_machine_list(machines, self.now);
    }

    fn is_in_maintenance(&self, machine: &SmolStr) -> bool {
        let mut maintained = self.maintained.iter();
        maintained.any(|(each, from, until)| each == machine && (*from..*until).contains(&self.now))
    }

    /// Lets maintenance of a machine begin, unless it has begun before.
    fn begin_maintenance(&mut self, machine: &SmolStr) {
        if self.maintained.iter().all(|(each, ..)| each != machine) {
            self.maintained.push((machine.clone(), self.now, self.now + self.maintenance));
        }
    }

    fn run(&mut self, ms: u64) {
        for round in 0..(ms / ROUND.as_millis() as u64) as usize {
            self.now += ROUND;
            self.wall += ROUND;
            if self.lists && round.is_multiple_of(LIST_ROUNDS) {
                self.list_machines();
            }
            self.poll_workers();
            for action in self.scheduler.plan(self.now, self.wall) {
                self.execute(action);
            }
        }
    }

    fn poll_workers(&mut self) {
        let mut available = 0;
        let mut unrecorded = false;
        let percent_per_round = (100 * ROUND.as_millis() / self.startup.as_millis()) as u8;
        for (id, attempts) in &mut self.running {
            let Some(renewal) = self.scheduler.renewal(id, self.now) else { continue };
            for attempt in attempts.iter_mut() {
                attempt.percent = (attempt.percent + percent_per_round).min(100);
                available += usize::from(attempt.percent == 100);
            }
            let report = Report {
                start_ms: Some(renewal.incarnation.start_ms),
                clock_ms: renewal.deadline_ms.unwrap_or(4000).saturating_sub(4000) + 1,
                running: attempts.clone(),
                ended: Vec::new(),
            };
            let sent = self.now - Duration::from_millis(1);
            unrecorded |= self.scheduler.apply_report(id, &report, sent, self.now);
        }
        if unrecorded {
            let records = self.scheduler.incarnation_records(self.now);
            self.scheduler.records_written(&records, self.scheduler.token());
        }
        let all: usize = self.running.values().map(Vec::len).sum();
        self.most_unavailable = self.most_unavailable.max(all.max(available) - available);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start(start) => {
                let attempts = self.running.get_mut(&start.incarnation.id).unwrap();
                attempts.push(RunningAttempt {
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
                let attempts = self.running.get_mut(&incarnation.id).unwrap();
                attempts.retain(|each| each.task != task || each.attempt != attempt);
                self.stop_times.push(self.now);
                *self.stopped.entry(task).or_default() += 1;
                self.scheduler.stop_answered(&incarnation, task, attempt, self.now);
            }
            Action::Machine(command) => {
                self.commands.push((self.now, command.clone()));
                if self.answer == MachineAnswer::Done {
                    self.begin_maintenance(command.machine());
                }
                self.scheduler.machine_answered(&command, self.answer, self.now);
            }
            Action::Throttle { .. } | Action::AskAdviser { .. } => {}
        }
    }

    fn maintenance_count(&self) -> usize {
        let is_maintenance =
            |command: &MachineCommand| matches!(command, MachineCommand::Maintain { .. });
        self.commands.iter().filter(|(_, command)| is_maintenance(command)).count()
    }

    /// Returns the maximum number of machines that were down at the same time.
    fn most_down(&self) -> usize {
        let at = |now: &Instant| {
            self.maintained.iter().filter(|(_, from, until)| (*from..*until).contains(now)).count()
        };
        self.maintained.iter().map(|(_, from, _)| at(from)).max().unwrap_or_default()
    }
}

/// Guards against a wave that makes more tasks of a continuous step unavailable
/// at once than the step allows.
#[test]
fn continuous_tasks_leave_within_their_disruption_budget() {
    let mut fleet = TestFleet::new(8);
    fleet.continuous(1, 5, 1);
    fleet.continuous(2, 4, 1);
    fleet.run(3000);
    fleet.most_unavailable = 0;
    fleet.add_wave(4, 40, 4);
    fleet.run(34_000);
    assert_eq!(fleet.maintenance_count(), 4);
    // At most one task of each of the two jobs. A task is available half a
    // second after its start.
    assert!(fleet.most_unavailable <= 2, "{} were unavailable", fleet.most_unavailable);
}

/// Guards against too many machines out of service when a wave has little time.
#[test]
fn no_more_machines_are_down_at_once_than_the_wave_allows() {
    let mut fleet = TestFleet::new(12);
    fleet.add_wave(12, 14, 2);
    fleet.run(30_000);
    assert_eq!(fleet.maintenance_count(), 12);
    assert!(fleet.most_down() <= 2, "{} at once", fleet.most_down());
}

/// Guards against a wave that takes more machines at once than its deadline
/// requires.
#[test]
fn a_wave_with_much_time_takes_one_machine_at_a_time() {
    let mut fleet = TestFleet::new(12);
    fleet.add_wave(6, 60, 6);
    fleet.run(60_000);
    assert_eq!(fleet.maintenance_count(), 6);
    assert_eq!(fleet.most_down(), 1);
}

/// Guards against a wave that leaves the machines of continuous tasks to the end: these
/// tasks can leave only one at a time, so that the last machines are late.
#[test]
fn machines_of_continuous_tasks_are_drained_from_the_start_of_a_wave() {
    let (due, limit_secs) = (60, 24);
    let mut fleet = TestFleet::new(84);
    for id in 1..=6 {
        fleet.spread(id, 24, 1);
    }
    fleet.run(3000);
    fleet.most_unavailable = 0;
    fleet.add_wave(due, limit_secs, 20);
    fleet.run(limit_secs * 1000 - 2000);
    assert_eq!(fleet.maintenance_count(), due);
    assert!(fleet.most_unavailable <= 6, "{} were unavailable", fleet.most_unavailable);
    // Each task moves once, to a machine that has no maintenance ahead of it.
    let stops = fleet.stop_times.len();
    assert!(stops <= 6 * 24, "{stops} tasks were stopped");
}

/// Guards against a wave that is late because of one step: only one of its tasks may be
/// away, and machines of other tasks are cheaper to drain and go first.
#[test]
fn tasks_of_a_step_with_a_small_budget_begin_to_leave_in_time() {
    let (due, limit_secs) = (48, 27);
    let mut fleet = TestFleet::new(100);
    fleet.startup = Duration::from_secs(1);
    fleet.spread(1, 48, 8);
    fleet.spread(2, 24, 1);
    fleet.run(3000);
    fleet.add_wave(due, limit_secs, 20);
    fleet.run(limit_secs * 1000 - 2000);
    assert_eq!(fleet.maintenance_count(), due);
}

/// Guards against tasks that are evicted again and again: no machine without maintenance
/// ahead of it has room for them, so that they start where they were.
#[test]
fn a_task_without_another_place_is_not_evicted_before_its_machine_is_drained() {
    let mut fleet = TestFleet::new(9);
    let mut spec: JobSpec = (*job("q-a", vec![step(9, 14_000, 1)], fleet.wall)).clone();
    spec.team = None;
    fleet.scheduler.add_job(JobId::new(1), Arc::new(spec), 10, fleet.now);
    fleet.run(1000);
    fleet.continuous(2, 18, 1);
    fleet.run(3000);
    fleet.add_wave(8, 60, 1);
    fleet.run(4000);
    // Once to a place that has become free, and once with the machine there.
    let most = fleet.stopped.values().max();
    assert!(most.is_none_or(|&times| times <= 2), "a task was stopped {most:?} times");
}

/// Guards against a wave that is reported complete too early, or again and
/// again.
#[test]
fn a_wave_is_complete_when_every_machine_was_maintained() {
    let mut fleet = TestFleet::new(4);
    fleet.add_wave(3, 20, 1);
    let states =
        |scheduler: &mut Scheduler| scheduler.take_wave_changes().map(|changes| changes[0].1);
    assert_eq!(states(&mut fleet.scheduler), Some(WaveState::Running));
    fleet.run(20_000);
    assert_eq!(fleet.maintenance_count(), 3);
    assert_eq!(states(&mut fleet.scheduler), Some(WaveState::Complete));
    assert_eq!(states(&mut fleet.scheduler), None);
}

/// Guards against a second command while the machine may be down, because a
/// command without an answer may have taken effect, and against a machine that
/// is never commanded again.
#[test]
fn an_unanswered_command_counts_as_in_progress_and_is_sent_again() {
    let mut fleet = TestFleet::new(4);
    fleet.answer = MachineAnswer::Unanswered;
    fleet.add_wave(1, 20, 1);
    fleet.run(1900);
    assert_eq!(fleet.maintenance_count(), 1);
    fleet.answer = MachineAnswer::Done;
    fleet.run(4000);
    assert_eq!(fleet.maintenance_count(), 2);
    let interval = fleet.commands[1].0 - fleet.commands[0].0;
    assert!(interval >= SchedulingRules::default().maintain_time, "{interval:?}");
}

/// Guards against maintenance of a machine on which an earlier leader may have
/// started tasks, while its worker is unreachable.
#[test]
fn a_new_leader_commands_no_machine_whose_worker_has_not_answered() {
    let mut fleet = TestFleet::new(4);
    let now = fleet.now;
    let config = Arc::clone(fleet.scheduler.config());
    let mut scheduler = Scheduler::new(SchedulingRules::default(), FencingToken(9), config, now);
    scheduler.end_machine_hold(now);
    let id: HostId = "w0".parse().unwrap();
    scheduler.register(&registration(0), now);
    let renewal = scheduler.renewal(&id, now).unwrap();
    scheduler.poll_failed(&renewal, PollFailure::Silent, now);
    fleet.scheduler = scheduler;
    fleet.scheduler.set_machine_list(vec![machine(0)], now);
    fleet.running.clear();
    fleet.add_wave(1, 6, 1);
    fleet.run(5000);
    assert_eq!(fleet.maintenance_count(), 0);
}

/// Guards against exceeding a step's disruption budget after a takeover: stop
/// commands of the earlier leader may still be taking effect.
#[test]
fn a_new_leader_stops_no_continuous_task_while_others_may_be_stopping() {
    let mut fleet = TestFleet::new(6);
    fleet.continuous(1, 5, 1);
    fleet.run(3000);
    fleet.change_leader(6);
    let steps = vec![StepSpec { continuous: true, max_unavailable: Some(1), ..step(5, 1000, 0) }];
    let spec: Arc<JobSpec> = job("q-a", steps, fleet.wall);
    fleet.scheduler.add_job(JobId::new(1), spec, 10, fleet.now);
    fleet.add_wave(6, 8, 6);
    let taken_over = fleet.now;
    fleet.run(3000);
    // Stop commands of the earlier leader take effect within the stop time.
    let first = fleet.stop_times.first().copied().unwrap();
    assert!(first - taken_over > SchedulingRules::default().stop_time, "{:?}", first - taken_over);
}

/// Guards against more machines down at once than a wave allows after a takeover: the next
/// leader did not count those that the earlier one had commanded.
#[test]
fn a_new_leader_counts_the_machine_that_is_down() {
    for answered in [true, false] {
        let mut fleet = TestFleet::new(6);
        fleet.add_wave(6, 12, 1);
        let earlier = fleet.run_to_command();
        fleet.change_wave_leader(wave(6, 12, 1), &earlier, answered);
        fleet.run(60_000);
        let repeated = fleet.commands.iter().filter(|(_, each)| *each.machine() == earlier.machine);
        assert_eq!(repeated.count(), 1 + usize::from(!answered), "answered: {answered}");
        // The wave goes on, and ends.
        assert_eq!(fleet.maintenance_count(), 6 + usize::from(!answered));
        assert_eq!(fleet.most_down(), 1, "answered: {answered}");
    }
}

/// Guards against the same for a command that is carried out after the next leader has read
/// the record of it, and without an answer to either leader.
#[test]
fn a_command_that_may_be_on_its_way_counts_until_it_is_answered() {
    let mut fleet = TestFleet::new(6);
    fleet.add_wave(6, 12, 1);
    fleet.answer = MachineAnswer::Unanswered;
    let earlier = fleet.run_to_command();
    fleet.change_wave_leader(wave(6, 12, 1), &earlier, false);
    fleet.run(20_000);
    let machines = |fleet: &TestFleet| -> Vec<_> {
        fleet.commands.iter().map(|(_, each)| each.machine().clone()).collect()
    };
    assert!(machines(&fleet).len() > 2, "the command is repeated");
    assert!(machines(&fleet).iter().all(|each| *each == earlier.machine));
    fleet.answer = MachineAnswer::Done;
    fleet.run(30_000);
    assert!(machines(&fleet).iter().any(|each| *each != earlier.machine), "the wave goes on");
}

/// Guards against a machine that is not counted because the record of its command is gone:
/// the platform's list shows it in maintenance.
#[test]
fn a_machine_that_is_listed_in_maintenance_counts_as_down() {
    let mut fleet = TestFleet::new(3);
    fleet.begin_maintenance(&machine(2).id);
    fleet.change_leader(3);
    fleet.add_wave(3, 6, 1);
    fleet.run(2000);
    assert_eq!(fleet.maintenance_count(), 0);
    fleet.run(2000);
    assert_eq!(fleet.maintenance_count(), 1);
}

/// Guards against more machines down at once than a wave allows where machines are slow to come
/// back: they counted as down for the usual time only.
#[test]
fn a_machine_counts_as_down_until_it_is_listed_up() {
    for maintenance_ms in [2300, 3200, 9000] {
        let mut fleet = TestFleet::new(6);
        fleet.maintenance = Duration::from_millis(maintenance_ms);
        fleet.add_wave(6, 20, 1);
        fleet.run(90_000);
        assert_eq!(fleet.most_down(), 1, "{maintenance_ms} ms");
        assert_eq!(fleet.maintained.len(), 6, "{maintenance_ms} ms");
    }
}

/// The same over a takeover, at any moment of the maintenance.
#[test]
fn a_new_leader_counts_a_machine_that_is_slow_to_come_back() {
    for (answered, after_ms) in [(true, 0), (false, 0), (true, 2200), (false, 2200), (true, 2900)] {
        let mut fleet = TestFleet::new(6);
        fleet.maintenance = Duration::from_millis(3200);
        fleet.add_wave(6, 20, 1);
        let earlier = fleet.run_to_command();
        fleet.run(after_ms);
        let earlier = EarlierCommand { age: Duration::from_millis(after_ms), ..earlier };
        fleet.change_wave_leader(wave(6, 20, 1), &earlier, answered);
        fleet.run(90_000);
        assert_eq!(fleet.most_down(), 1, "answered: {answered}, after {after_ms} ms");
        assert_eq!(fleet.maintained.len(), 6, "answered: {answered}, after {after_ms} ms");
    }
}

/// Guards against a wave that stands still for good because no list can be read.
#[test]
fn a_wave_goes_on_without_lists() {
    let mut fleet = TestFleet::new(3);
    fleet.add_wave(3, 20, 1);
    fleet.run(500);
    fleet.lists = false;
    fleet.run(60_000);
    assert_eq!(fleet.maintained.len(), 3);
    assert_eq!(fleet.most_down(), 1);
}

/// Guards against a limit that operators have lowered and that the leader does not know.
#[test]
fn the_limit_of_a_wave_that_was_set_last_counts() {
    let mut fleet = TestFleet::new(12);
    fleet.add_wave(12, 14, 6);
    fleet.add_wave(12, 14, 1);
    fleet.run(60_000);
    assert_eq!(fleet.maintenance_count(), 12);
    assert_eq!(fleet.most_down(), 1);
}

/// Guards against the same for a wave that the next leader reads after the record of its
/// commands.
#[test]
fn a_command_counts_for_a_wave_that_is_read_later() {
    let mut fleet = TestFleet::new(6);
    fleet.add_wave(6, 12, 1);
    fleet.answer = MachineAnswer::Unanswered;
    let earlier = fleet.run_to_command();
    fleet.change_leader(6);
    fleet.scheduler.restore_command(&earlier, fleet.now);
    fleet.run(500);
    fleet.add_wave(6, 12, 1);
    fleet.run(10_000);
    let others = fleet.commands.iter().filter(|(_, each)| *each.machine() != earlier.machine);
    assert_eq!(others.count(), 0, "the earlier command may be on its way");
}

/// Guards against tasks that run twice after a machine was commanded again: the earlier
/// command had been carried out, so the answer ends nothing, and the clock of the machine is
/// behind, so that its worker seems to have started before the wave.
#[test]
fn a_repeated_command_ends_no_tasks_on_a_machine_that_is_back_with_a_clock_behind() {
    let mut fleet = TestFleet::new(3);
    fleet.add_wave(3, 30, 1);
    let earlier = fleet.run_to_command();
    fleet.change_wave_leader(wave(3, 30, 1), &earlier, false);
    let back: HostId = earlier.machine.replace('m', "w").parse().unwrap();
    let mut spec: JobSpec = (*job("q-a", vec![step(2, 1000, 60_000)], fleet.wall)).clone();
    spec.team = None;
    fleet.scheduler.add_job(JobId::new(1), Arc::new(spec), 10, fleet.now);
    let running = |index| RunningAttempt {
        task: TaskId {
            step: vg_flow::StepId { job: JobId::new(1), occurrence: 0, step: 0 },
            index,
        },
        attempt: vg_flow::AttemptNumber(1),
        checkpoint: SmolStr::default(),
        percent: 0,
        gauge: 0.0,
    };
    fleet.running.insert(back.clone(), vec![running(0), running(1)]);
    while !fleet.commands.iter().skip(1).any(|(_, each)| *each.machine() == earlier.machine) {
        fleet.run(20);
    }
    // Its next poll is open for a while.
    fleet.running.remove(&back);
    fleet.run(500);
    assert!(fleet.running.values().all(Vec::is_empty), "{:?}", fleet.running);
}
