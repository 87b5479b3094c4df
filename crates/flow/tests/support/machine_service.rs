//! A service that carries out commands to machines, and that is slow, silent or late.

use std::collections::{BTreeSet, HashMap};

use rand::Rng;
use rand::seq::SliceRandom;
use vg_base::prelude::*;
use vg_flow::{
    EarlierCommand, Machine, MachineAnswer, MachineCommand, MachineState, Wave, WaveRecord,
};
use vg_standin::SimulatedWorker;

use super::inbox::Answer;
use super::world::World;

/// Time after which the leader gives a command up.
const ANSWER_LIMIT_MS: u64 = 900;
/// When a command without an answer is carried out.
const LATE_MS: std::ops::Range<u64> = 1000..12_000;
/// Time that a move takes.
const MOVE_MS: u64 = 1500;
/// Time that maintenance takes.
const MAINTAIN_MS: u64 = 2000;
/// Time that a move or maintenance takes where machines are quick.
const QUICK_MS: u64 = 300;
/// Interval at which the leader reads the list of machines.
const LIST_MS: u64 = 1000;
/// Age of an old list when it is read.
const OLD_LIST_MS: std::ops::Range<u64> = 500..4000;
/// Time for which a command is recorded for the next leader.
const RECORDED_MS: u64 = 15_000;
/// When the registration of a worker lapses whose machine was taken away.
const LAPSE_MS: std::ops::Range<u64> = 300..3000;
/// Time in which a wave is to end.
const WAVE_LIMIT: Duration = Duration::from_secs(30);

/// The service, and what is on its way to it and from it.
#[derive(Debug, Default)]
pub(crate) struct MachineService {
    /// Machines that are not up, when they are back, and for which wave they are away.
    away: Vec<(SmolStr, u64, Option<u64>)>,
    maintained: BTreeSet<(u64, SmolStr)>,
    /// Commands that are carried out later, and whether they are answered then.
    on_way: Vec<(u64, MachineCommand, bool)>,
    /// Answers that are read later.
    answers: Vec<(u64, MachineCommand, MachineAnswer)>,
    /// Lists that are read later, and when they were asked for.
    lists: Vec<(u64, u64, Vec<Machine>)>,
    /// Workers whose registrations lapse.
    lapses: Vec<(u64, HostId)>,
    /// Whether machines are back before some answers are read.
    is_quick: bool,
    waves: Vec<Wave>,
    records: HashMap<u64, WaveRecord>,
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Adds machines that are switched off, and a service that carries out commands.
    pub(crate) fn add_machine_service(&mut self, spare: usize) {
        self.add_spare(spare);
        self.service = Some(MachineService::default());
    }

    /// Lets machines be back before some answers are read.
    pub(crate) fn make_machines_quick(&mut self) {
        self.service().is_quick = true;
    }

    /// Sends a command to the service.
    pub(super) fn send_machine_command(&mut self, command: MachineCommand) {
        let (ms, faults) = (self.ms, self.faults);
        self.commands.push((ms, command.clone()));
        let given_up = (ms + ANSWER_LIMIT_MS, command.clone(), MachineAnswer::Unanswered);
        if self.chance(faults.refusals) {
            let at = ms + self.rng.random_range(20..400);
            self.service().answers.push((at, command, MachineAnswer::Limited));
        } else if self.chance(faults.late_commands) {
            let at = ms + self.rng.random_range(LATE_MS);
            self.service().on_way.push((at, command, false));
            self.service().answers.push(given_up);
        } else if self.chance(faults.lost_commands) {
            if self.rng.random_bool(0.5) {
                self.carry_out(&command);
            }
            self.service().answers.push(given_up);
        } else if self.chance(faults.slow_commands) {
            let at = ms + self.rng.random_range(20..ANSWER_LIMIT_MS);
            match self.rng.random_bool(0.5) {
                true => self.service().on_way.push((at, command, true)),
                false => {
                    let answer = self.carry_out(&command);
                    self.service().answers.push((at, command, answer));
                }
            }
        } else {
            let answer = self.carry_out(&command);
            self.receive(Answer::Machine { command, answer });
        }
    }

    fn service(&mut self) -> &mut MachineService {
        self.service.as_mut().expect("the world has a service for machines")
    }

    /// Carries out a command, unless that was done before or the machine is not up.
    fn carry_out(&mut self, command: &MachineCommand) -> MachineAnswer {
        let ms = self.ms;
        let Some(at) = self.machines.iter().position(|each| each.id == *command.machine()) else {
            return MachineAnswer::Unknown;
        };
        let machine = self.machines[at].clone();
        let is_done = match command {
            MachineCommand::Move { pool, .. } => machine.pool == *pool,
            MachineCommand::Maintain { wave, .. } => {
                self.service().maintained.contains(&(*wave, machine.id.clone()))
            }
        };
        if is_done && (machine.state == MachineState::Up || self.rng.random_bool(0.5)) {
            return MachineAnswer::Done;
        }
        if machine.state != MachineState::Up {
            return MachineAnswer::Busy;
        }
        let (away_ms, wave) = match command {
            MachineCommand::Move { pool, .. } => {
                self.machines[at].pool = pool.clone();
                self.machines[at].state = MachineState::Moving;
                (MOVE_MS, None)
            }
            MachineCommand::Maintain { wave, .. } => {
                self.check_wave_limit(*wave);
                self.machines[at].state = MachineState::Maintenance;
                self.service().maintained.insert((*wave, machine.id.clone()));
                (MAINTAIN_MS, Some(*wave))
            }
        };
        let until = ms + if self.service().is_quick { QUICK_MS } else { away_ms };
        self.service().away.push((machine.id.clone(), until, wave));
        self.end_worker_on(&machine.id);
        MachineAnswer::Done
    }

    /// Checks that a wave may have one more machine down.
    fn check_wave_limit(&mut self, wave: u64) {
        let ms = self.ms;
        let service = self.service();
        let down = service.away.iter().filter(|(.., of)| *of == Some(wave)).count();
        let limit = service.waves.iter().find(|each| each.number == wave).map(|each| each.max_down);
        if limit.is_some_and(|limit| down >= limit as usize) {
            self.violations.push(format!("{ms}: wave {wave} has {down} machines down already"));
        }
    }

    fn end_worker_on(&mut self, machine: &SmolStr) {
        let ms = self.ms;
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            if worker.machine != *machine || !worker.up {
                continue;
            }
            worker.up = false;
            worker.running.clear();
            let id = worker.id.parse().unwrap();
            let lapse = ms + self.rng.random_range(LAPSE_MS);
            self.service().lapses.push((lapse, id));
        }
    }

    /// Carries out what is due: commands, answers, lists and returns of machines.
    pub(super) fn advance_machine_service(&mut self) {
        if self.service.is_none() {
            return;
        }
        let ms = self.ms;
        for (_, command, answered) in
            self.service().on_way.extract_if(.., |due| due.0 <= ms).collect::<Vec<_>>()
        {
            let answer = self.carry_out(&command);
            if answered {
                self.receive(Answer::Machine { command, answer });
            }
        }
        let answers: Vec<_> = self.service().answers.extract_if(.., |due| due.0 <= ms).collect();
        for (_, command, answer) in answers {
            self.receive(Answer::Machine { command, answer });
        }
        self.return_machines();
        let lapses: Vec<_> = self.service().lapses.extract_if(.., |due| due.0 <= ms).collect();
        for (_, id) in lapses {
            self.scheduler.deregister(&id);
        }
        if ms.is_multiple_of(LIST_MS) && !self.inbox.is_paused() {
            self.ask_for_list();
        }
        let lists: Vec<_> = self.service().lists.extract_if(.., |due| due.0 <= ms).collect();
        for (_, asked_ms, list) in lists {
            let asked = self.base + Duration::from_millis(asked_ms);
            self.receive(Answer::Machines { list, asked });
        }
        if self.chance(self.faults.waves) {
            self.draw_wave();
        }
        self.write_waves();
    }

    /// Lets workers with other ids join from the machines that are back.
    fn return_machines(&mut self) {
        let ms = self.ms;
        let back: Vec<_> =
            self.service().away.extract_if(.., |(_, until, _)| *until <= ms).collect();
        for (id, ..) in &back {
            let machine = self.machines.iter_mut().find(|each| each.id == *id).unwrap();
            machine.state = MachineState::Up;
            let pool = machine.pool.as_str();
            if pool != "spare" {
                let id = format!("w{}", self.workers.len());
                let worker = SimulatedWorker::new(&id, pool, &machine.id, ms, machine.capacity);
                let before = self.workers.iter().rposition(|each| each.machine == machine.id);
                self.workers.push(worker);
                if let Some(before) = before
                    && self.chance(self.faults.taken_addresses)
                {
                    self.take_address(self.workers.len() - 1, before);
                }
            }
        }
        if !back.is_empty() {
            self.register();
        }
    }

    /// Asks for the list of machines, which shows them as they are now and may be read later.
    fn ask_for_list(&mut self) {
        let (ms, list) = (self.ms, self.machines.clone());
        let delay_ms = match self.chance(self.faults.old_lists) {
            true => self.rng.random_range(OLD_LIST_MS),
            false => 20,
        };
        self.service().lists.push((ms + delay_ms, ms, list));
    }

    /// Requests a wave for some machines.
    fn draw_wave(&mut self) {
        let mut ids: Vec<_> = self.machines.iter().map(|each| each.id.clone()).collect();
        let count = self.rng.random_range(1..5);
        ids.shuffle(&mut self.rng);
        let machines = ids.into_iter().take(count).collect();
        let number = self.service().waves.len() as u64 + 1;
        let max_down = self.rng.random_range(1..3);
        let wave = Wave { number, machines, time_limit: WAVE_LIMIT, max_down };
        self.service().waves.push(wave.clone());
        let (now, wall) = (self.now(), self.wall());
        self.scheduler.add_wave(wave, None, now, wall);
    }

    /// Makes the states of the waves durable.
    fn write_waves(&mut self) {
        if self.ms < self.outage_until || self.inbox.is_paused() {
            return;
        }
        let Some(changes) = self.scheduler.take_wave_changes() else { return };
        for (record, _) in changes {
            self.service().records.insert(record.number, record);
        }
    }

    /// Tells a new leader the waves and the commands that were sent, and lets it ask for the
    /// list. Answers to the earlier leader do not reach it.
    pub(super) fn restore_service(&mut self) {
        let (ms, now, wall) = (self.ms, self.now(), self.wall());
        self.scheduler.end_machine_hold(now);
        let mut recorded = HashMap::new();
        for (sent, command) in self.commands.iter().filter(|each| each.0 + RECORDED_MS > ms) {
            let wave = match command {
                MachineCommand::Maintain { wave, .. } => Some(*wave),
                MachineCommand::Move { .. } => None,
            };
            let (machine, age) = (command.machine().clone(), Duration::from_millis(ms - sent));
            recorded.insert((machine.clone(), wave), EarlierCommand { machine, wave, age });
        }
        let service = self.service();
        service.answers.clear();
        service.lists.clear();
        service.on_way.iter_mut().for_each(|each| each.2 = false);
        let waves: Vec<_> = service
            .waves
            .iter()
            .map(|wave| (wave.clone(), service.records.get(&wave.number).cloned()))
            .collect();
        for (wave, record) in waves {
            self.scheduler.add_wave(wave, record.as_ref(), now, wall);
        }
        let mut recorded: Vec<_> = recorded.into_values().collect();
        // Longest ago first, so that the last command decides how long a machine gets no other.
        recorded.sort_by_key(|each| (std::cmp::Reverse(each.age), each.machine.clone()));
        for command in &recorded {
            self.scheduler.restore_command(command, now);
        }
        self.ask_for_list();
    }
}
