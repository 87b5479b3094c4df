//! Which machines of a wave count as down, so that no more of them are than it allows.
//!
//! Load that this module handles: leaders change within one maintenance, and the platform
//! leaves commands unanswered and carries them out seconds later. A machine counts from the
//! command on, whoever sent it: the record of commands, which is durable before any of them
//! is sent, tells the next leader of those that may be on their way, and the platform's list
//! of those that have arrived. A command without an answer is repeated: the answer tells that
//! the machine is down now or has been, and ends the wait for the earlier one. So that a wave
//! still ends in time, a machine whose maintenance has begun counts only until the list shows
//! it up again.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::pools::machines::COMMAND_TIMEOUT;
use crate::pools::maintain::ActiveWave;
use crate::{Machine, MachineCommand, MachineState, Scheduler};

/// Longest time after which a command without an answer is carried out.
const COMMAND_DELAY_MAX: Duration = Duration::from_secs(12);
/// Added to the time for which a machine counts as down.
const DOWN_MARGIN: Duration = Duration::from_millis(250);

/// A command that an earlier leader recorded before it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlierCommand {
    /// The machine.
    pub machine: SmolStr,
    /// The wave for which the machine may be down; `None` if it was moved, or the command
    /// is known to have had no effect.
    pub wave: Option<u64>,
    /// Least time since it was recorded.
    pub age: Duration,
}

/// A machine that is or was down for a wave.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Down {
    /// Until when it is assumed to be.
    until: Instant,
    /// Since when its maintenance is known to have begun; `None` if the command may still be
    /// on its way.
    begun: Option<Instant>,
}

impl Down {
    /// Returns the state of a machine whose maintenance began at `now` at the latest.
    pub(crate) fn begun(now: Instant, time: Duration) -> Down {
        Down { until: now + time, begun: Some(now) }
    }

    /// Applies that a list that was asked for at `asked` shows the machine in maintenance.
    fn listed_down(&mut self, asked: Instant, time: Duration) {
        if self.begun.is_none() {
            *self = Down::begun(asked, time);
        }
    }

    /// Applies that such a list shows the machine up: its maintenance has ended, or the
    /// command is on its way.
    fn listed_up(&mut self, asked: Instant) {
        if self.begun.is_some_and(|begun| begun <= asked) {
            self.until = self.until.min(asked);
        }
    }
}

/// The machines that are or were down for a wave. Those that were stay known, so that a list
/// that was asked for before their return changes nothing.
#[derive(Debug, Default)]
pub(crate) struct DownMachines(HashMap<SmolStr, Down>);

impl DownMachines {
    pub(crate) fn insert(&mut self, machine: SmolStr, down: Down) {
        self.0.insert(machine, down);
    }

    /// Returns the machines that may be down at `now`.
    fn at(&self, now: Instant) -> impl Iterator<Item = &SmolStr> {
        self.0.iter().filter(move |(_, down)| now < down.until).map(|(machine, _)| machine)
    }

    /// Applies the state of a machine in a list that was asked for at `asked`.
    fn apply_listed(&mut self, machine: &Machine, asked: Instant, time: Duration) {
        match machine.state {
            MachineState::Maintenance => self
                .0
                .entry(machine.id.clone())
                .or_insert_with(|| Down::begun(asked, time))
                .listed_down(asked, time),
            MachineState::Up => {
                if let Some(down) = self.0.get_mut(&machine.id) {
                    down.listed_up(asked);
                }
            }
            MachineState::Moving | MachineState::Down => {}
        }
    }
}

impl ActiveWave {
    /// Whether a machine may be down for the wave.
    pub(crate) fn is_down(&self, machine: &SmolStr, now: Instant) -> bool {
        self.down.0.get(machine).is_some_and(|down| now < down.until)
    }

    /// Whether the maintenance of a machine may have begun, and may even have ended: a command
    /// for it was sent before, or a list has shown it in maintenance.
    pub(crate) fn may_have_begun(&self, machine: &SmolStr) -> bool {
        self.down.0.contains_key(machine)
    }

    /// Returns the number of machines that may be down and are not being drained for a
    /// command that is repeated.
    pub(crate) fn down_count(&self, now: Instant) -> usize {
        self.down.at(now).filter(|machine| !self.draining.contains_key(*machine)).count()
    }
}

impl Scheduler {
    /// Notes a command of an earlier leader: its machine gets no other one for a while, and
    /// counts as down if it may have its maintenance now or later.
    pub fn restore_command(&mut self, command: &EarlierCommand, now: Instant) {
        let EarlierCommand { machine, age, .. } = command;
        let hold = self.rules.machine_hold.saturating_sub(*age);
        self.pause_machine(machine.clone(), now + hold);
        let down_time = self.down_time();
        let active = command.wave.and_then(|wave| self.machines.waves.get_mut(&wave));
        let Some(active) = active else { return };
        let is_answered = active.done.contains(machine);
        let delay = if is_answered { COMMAND_TIMEOUT } else { COMMAND_DELAY_MAX };
        let remaining = (delay + down_time).saturating_sub(*age);
        let begun = is_answered.then_some(now);
        active.down.insert(machine.clone(), Down { until: now + remaining, begun });
        if !is_answered && active.awaits(machine) {
            active.draining.insert(machine.clone(), now);
        }
    }

    /// Applies what a list of machines that was asked for at `asked` shows of the machines of
    /// waves.
    pub(crate) fn apply_list_to_waves(&mut self, asked: Instant) {
        let time = self.down_time();
        let machines = &mut self.machines;
        for listed in machines.list.values().filter(|each| !machines.changed.contains_key(&each.id))
        {
            for active in machines.waves.values_mut().filter(|each| each.includes(&listed.id)) {
                active.down.apply_listed(listed, asked, time);
            }
        }
    }

    /// Notes that a command for a wave was not answered: the machine counts as down until
    /// the command is answered when it is repeated, or can't be on its way any more.
    pub(crate) fn note_unanswered(&mut self, wave: u64, machine: &SmolStr, now: Instant) {
        let until = now + COMMAND_DELAY_MAX + self.down_time();
        if let Some(active) = self.machines.waves.get_mut(&wave) {
            active.down.insert(machine.clone(), Down { until, begun: None });
        }
    }

    /// Whether the machine of a wave may be commanded: with it, no more machines are down
    /// than the wave allows. It may be down itself.
    pub(crate) fn is_within_limit(&self, number: u64, machine: &SmolStr, now: Instant) -> bool {
        let active = &self.machines.waves[&number];
        let down = active.down.at(now).filter(|each| *each != machine);
        let in_flight = self.machines.commands.values().filter(|(command, _)| {
            let MachineCommand::Maintain { machine: each, wave } = command else { return false };
            *wave == number && each != machine && !active.is_down(each, now)
        });
        down.count() + in_flight.count() < active.wave.max_down.max(1) as usize
    }

    /// Whether a machine may be down for its maintenance, or have had it without an answer, or
    /// a command for it is in progress.
    pub fn may_be_maintained(&self, machine: &SmolStr, now: Instant) -> bool {
        let may_be = |active: &ActiveWave| {
            let is_unanswered = active.awaits(machine) && active.may_have_begun(machine);
            is_unanswered || active.is_down(machine, now)
        };
        let in_progress = self.machines.commands.contains_key(machine);
        in_progress || self.machines.waves.values().any(may_be)
    }

    /// Returns for how long a machine counts as down after its maintenance has begun.
    pub(crate) fn down_time(&self) -> Duration {
        self.rules.maintain_time + DOWN_MARGIN
    }
}
