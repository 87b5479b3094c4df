//! Which machines of a wave count as down, so that no more of them are than it allows.
//!
//! Load that this module handles: leaders change within one maintenance, and the platform
//! leaves commands unanswered and carries them out seconds later. A machine counts from the
//! command on, whoever sent it: the record of commands, which is durable before any of them
//! is sent, tells the next leader of those that may be on their way, and the platform's list
//! of those that have arrived. A command without an answer is repeated: the answer tells that
//! the machine is down now or has been, and ends the wait for the earlier one.
//!
//! No clock tells that a machine is up again: maintenance takes longer than its usual time when
//! a machine is slow to start. A machine counts until a list that was asked for after its
//! maintenance began shows so. Such lists are read more often when machines are due back, so
//! that a wave still ends in time, and without one a machine counts for as long as a command
//! can be on its way.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::pools::maintain::ActiveWave;
use crate::{Machine, MachineCommand, MachineState, Scheduler};

/// Longest time after which a command without an answer is carried out.
const COMMAND_DELAY_MAX: Duration = Duration::from_secs(12);
/// Added to the usual time of maintenance.
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
    /// Until when it counts as down if no list shows it up before.
    until: Instant,
    /// Since when its maintenance is known to have begun; `None` if the command may still be
    /// on its way.
    begun: Option<Instant>,
}

impl Down {
    /// Returns the state of a machine whose maintenance, which usually takes `time`, began at
    /// `now` at the latest.
    pub(crate) fn begun(now: Instant, time: Duration) -> Down {
        Down { begun: Some(now), ..Down::commanded(now, time) }
    }

    /// Returns the state of a machine with a command that may be on its way.
    fn commanded(now: Instant, time: Duration) -> Down {
        Down { until: now + COMMAND_DELAY_MAX + time, begun: None }
    }

    /// Applies that a list that was asked for at `asked` shows the machine in maintenance.
    fn listed_down(&mut self, asked: Instant, time: Duration) {
        let listed = Down::begun(asked, time);
        self.until = self.until.max(listed.until);
        self.begun = self.begun.or(listed.begun);
    }

    /// Applies that such a list shows the machine in no maintenance: it has ended, or the
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

    /// Whether a machine has been down for its usual time or longer, so that it should be up.
    fn has_overdue(&self, now: Instant, usual: Duration) -> bool {
        let is_overdue = |down: &Down| down.begun.is_some_and(|begun| begun + usual <= now);
        self.0.values().any(|down| now < down.until && is_overdue(down))
    }

    /// Applies the state of a machine in a list that was asked for at `asked`.
    fn apply_listed(&mut self, machine: &Machine, asked: Instant, time: Duration) {
        match machine.state {
            MachineState::Maintenance => self
                .0
                .entry(machine.id.clone())
                .or_insert_with(|| Down::begun(asked, time))
                .listed_down(asked, time),
            MachineState::Up | MachineState::Moving => {
                if let Some(down) = self.0.get_mut(&machine.id) {
                    down.listed_up(asked);
                }
            }
            MachineState::Down => {}
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
        let hold = self.rules.machine_hold.saturating_sub(command.age);
        self.pause_machine(command.machine.clone(), now + hold);
        let Some(wave) = command.wave else { return };
        match self.machines.waves.contains_key(&wave) {
            true => self.count_earlier(command, now, now),
            false => self.machines.earlier.push((command.clone(), now)),
        }
    }

    /// Notes the commands of earlier leaders for a wave that was added.
    pub(crate) fn count_earlier_for(&mut self, wave: u64, now: Instant) {
        let is_of = |(each, _): &mut (EarlierCommand, Instant)| each.wave == Some(wave);
        let earlier: Vec<_> = self.machines.earlier.extract_if(.., is_of).collect();
        for (command, read) in earlier {
            self.count_earlier(&command, read, now);
        }
    }

    /// Counts the machine of a command, which was read at `read`, for the wave of the command.
    fn count_earlier(&mut self, command: &EarlierCommand, read: Instant, now: Instant) {
        let EarlierCommand { machine, age, .. } = command;
        let down_time = self.down_time();
        let active = command.wave.and_then(|wave| self.machines.waves.get_mut(&wave));
        let Some(active) = active else { return };
        let is_answered = active.done.contains(machine);
        let until = read + (COMMAND_DELAY_MAX + down_time).saturating_sub(*age);
        let begun = is_answered.then_some(read);
        active.down.insert(machine.clone(), Down { until, begun });
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
        let down = Down::commanded(now, self.down_time());
        if let Some(active) = self.machines.waves.get_mut(&wave) {
            active.down.insert(machine.clone(), down);
        }
    }

    /// Whether a machine should be up again after its maintenance and no list has shown it.
    pub fn awaits_machine(&self, now: Instant) -> bool {
        let usual = self.rules.maintain_time;
        self.machines.waves.values().any(|active| active.down.has_overdue(now, usual))
    }

    /// Whether the machine of a wave may be commanded: a list has been read since this leader
    /// took over, and with the machine no more are down than the wave allows. It may be down
    /// itself.
    pub(crate) fn is_within_limit(&self, number: u64, machine: &SmolStr, now: Instant) -> bool {
        if self.machines.list_asked.is_none() {
            return false;
        }
        let active = &self.machines.waves[&number];
        let down = active.down.at(now).filter(|each| *each != machine);
        let in_flight = self.machines.commands.values().filter(|sent| {
            let MachineCommand::Maintain { machine: each, wave } = &sent.command else {
                return false;
            };
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
        let mut earlier = self.machines.earlier.iter();
        let is_earlier = earlier.any(|(command, _)| command.machine == *machine);
        let in_progress = self.machines.commands.contains_key(machine);
        in_progress || is_earlier || self.machines.waves.values().any(may_be)
    }

    /// Returns how long maintenance takes where no machine is slow.
    pub(crate) fn down_time(&self) -> Duration {
        self.rules.maintain_time + DOWN_MARGIN
    }
}
