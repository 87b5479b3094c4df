//! The machines of the simulated fleet: commands to them, and moves.

use std::time::Duration;

use rand::Rng;
use vg_flow::{Machine, MachineAnswer, MachineCommand, MachineState, SchedulingRules};
use vg_jobs::Resources;
use vg_standin::SimulatedWorker;

use super::inbox::Answer;
use super::spec::{CORES, MEMORY};
use super::world::{COMMAND_TIMEOUT_MS, World, zone_of};

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Tells a new leader the machines, and which ones were sent commands
    /// recently.
    pub(super) fn restore_machines(&mut self) {
        if self.machines.is_empty() {
            return;
        }
        if self.service.is_some() {
            self.restore_service();
            return;
        }
        let now = self.now();
        self.scheduler.end_machine_hold(now);
        self.scheduler.set_machine_list(self.machines.clone(), now);
        let hold = SchedulingRules::default().machine_hold;
        for (ms, command) in &self.commands {
            let age = Duration::from_millis(self.ms - ms);
            let (MachineCommand::Move { machine, .. } | MachineCommand::Maintain { machine, .. }) =
                command;
            self.scheduler.pause_machine(machine.clone(), now + hold.saturating_sub(age));
        }
    }

    /// Adds machines that are switched off, and lists all machines.
    pub(crate) fn add_spare(&mut self, count: usize) {
        let listed = |id: &str, pool: &str| Machine {
            id: id.into(),
            pool: pool.parse().unwrap(),
            state: MachineState::Up,
            capacity: Resources::new(CORES, MEMORY, 0),
            zone: Some(zone_of(id)),
        };
        let machine_of = |worker: &SimulatedWorker| listed(&worker.machine, &worker.pool);
        self.machines = self.workers.iter().map(machine_of).collect();
        self.machines.extend((0..count).map(|at| listed(&format!("s{at}"), "spare")));
        let now = self.now();
        self.scheduler.end_machine_hold(now);
        self.scheduler.set_machine_list(self.machines.clone(), now);
    }

    /// Executes a command to a machine, or refuses it later. Without a service for machines,
    /// a command to maintain a machine is only recorded; a move ends the machine's worker at
    /// once.
    pub(super) fn execute_machine_command(&mut self, command: MachineCommand) {
        if self.service.is_some() {
            self.send_machine_command(command);
            return;
        }
        if self.chance(self.faults.refusals) {
            let at = self.ms + self.rng.random_range(20..400);
            self.pending_refusals.push((at, command));
            return;
        }
        let is_lost = self.chance(self.faults.lost_commands);
        if is_lost {
            self.lost_commands.push((self.ms + COMMAND_TIMEOUT_MS, command.clone()));
            if self.rng.random_bool(0.5) {
                return;
            }
        }
        self.commands.push((self.ms, command.clone()));
        let MachineCommand::Move { machine, pool } = &command else { return };
        let Some(at) = self.machines.iter().position(|each| each.id == *machine) else { return };
        let mut moved = self.machines.remove(at);
        moved.pool = pool.clone();
        self.workers.iter_mut().filter(|each| each.machine == *machine).for_each(|each| {
            each.up = false;
            each.running.clear();
        });
        self.in_transit.push((self.ms + 1500, moved));
        if !is_lost {
            self.receive(Answer::Machine { command, answer: MachineAnswer::Done });
        }
    }

    pub(super) fn deliver_refusals(&mut self) {
        let ms = self.ms;
        let (due, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_refusals).into_iter().partition(|(at, _)| *at <= ms);
        self.pending_refusals = left;
        for (_, command) in due {
            self.receive(Answer::Machine { command, answer: MachineAnswer::Limited });
        }
        let lost: Vec<_> = self.lost_commands.extract_if(.., |(at, _)| *at <= ms).collect();
        for (_, command) in lost {
            self.receive(Answer::Machine { command, answer: MachineAnswer::Unanswered });
        }
    }

    /// Finishes moves that are due: a new worker joins the pool.
    pub(super) fn finish_moves(&mut self) {
        let ms = self.ms;
        let (here, in_transit): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, _)| *at <= ms);
        self.in_transit = in_transit;
        let arrived = !here.is_empty();
        for (_, machine) in here {
            let id = format!("w{}", self.workers.len());
            let pool = machine.pool.as_str();
            if pool != "spare" {
                let worker = SimulatedWorker::new(&id, pool, &machine.id, ms, machine.capacity);
                self.workers.push(worker);
            }
            self.machines.push(machine);
        }
        if arrived {
            self.scheduler.set_machine_list(self.machines.clone(), self.now());
            for worker in self.workers.iter().filter(|worker| !worker.up) {
                self.scheduler.deregister(&worker.id.parse().unwrap());
            }
            self.register();
        }
    }
}
