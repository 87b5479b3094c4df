//! Waves of maintenance over machines.
//!
//! Load that this module handles: a wave asks for nearly half of the machines
//! within less time than it takes to wait for each to become idle, while each
//! queue in turn needs all of its pool. Which machines are drained, and when, is
//! decided in [`crate::pools::wave_choice`]. Continuous tasks leave a machine before it goes
//! ([`crate::pools::evict`]).

use std::collections::{BTreeMap, BTreeSet, HashSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::pools::machines::COMMAND_TIMEOUT;
use crate::pools::wave_limit::{Down, DownMachines};
use crate::workers::worker::WorkerKey;
use crate::{MachineCommand, MachineState, Scheduler};

/// Time within which short tasks on a machine may end before it goes.
const DRAIN_TIME: Duration = Duration::from_millis(1800);
/// Time before its due time at which a wave should end.
pub(crate) const WAVE_MARGIN: Duration = Duration::from_secs(4);
/// Time after a takeover at which a machine without a registered worker counts
/// as having no worker.
const REGISTRATION_TIME: Duration = Duration::from_secs(8);

/// A wave as requested by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// The machines.
    pub machines: Vec<SmolStr>,
    /// Time from its announcement to its required end.
    pub time_limit: Duration,
    /// Maximum number of machines that may be down at once.
    pub max_down: u32,
}

/// State of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum WaveState {
    /// Some machines are left.
    #[display("running")]
    Running,
    /// All machines that still exist have had their maintenance.
    #[display("complete")]
    Complete,
}

/// Durable state of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Number of the wave.
    pub number: u64,
    /// When a leader first saw it.
    #[serde(rename = "seen")]
    pub first_seen: SystemTime,
    /// Machines that have had their maintenance.
    pub done: BTreeSet<SmolStr>,
}

#[derive(Debug)]
pub(crate) struct ActiveWave {
    pub(crate) wave: Wave,
    /// The machines of the wave.
    listed: HashSet<SmolStr>,
    pub(crate) first_seen: SystemTime,
    pub(crate) due: Instant,
    pub(crate) done: BTreeSet<SmolStr>,
    /// Machines that are or were down for it.
    pub(crate) down: DownMachines,
    /// Machines that are being drained for it, and since when.
    pub(crate) draining: BTreeMap<SmolStr, Instant>,
    /// When continuous tasks were last evicted from machines that are not drained yet.
    pub(crate) evicted: Option<Instant>,
}

impl ActiveWave {
    /// Returns the machines that have not had their maintenance yet.
    pub(crate) fn remaining(&self) -> impl Iterator<Item = &SmolStr> {
        self.wave.machines.iter().filter(|each| !self.done.contains(*each))
    }

    pub(crate) fn includes(&self, machine: &SmolStr) -> bool {
        self.listed.contains(machine)
    }

    /// Whether a machine has not had its maintenance yet.
    pub(crate) fn awaits(&self, machine: &SmolStr) -> bool {
        self.listed.contains(machine) && !self.done.contains(machine)
    }

    fn is_complete(&self) -> bool {
        self.remaining().next().is_none()
    }
}

impl Scheduler {
    /// Adds a wave that operators requested, with its durable state if there is any. For one
    /// that is known, the limit that operators have set last counts.
    pub fn add_wave(
        &mut self,
        wave: Wave,
        record: Option<&WaveRecord>,
        now: Instant,
        wall: SystemTime,
    ) {
        if let Some(active) = self.machines.waves.get_mut(&wave.number) {
            active.wave.max_down = wave.max_down;
            return;
        }
        let first_seen = record.map_or(wall, |record| record.first_seen);
        let due = first_seen + wave.time_limit;
        let active = ActiveWave {
            due: now + due.duration_since(wall).unwrap_or_default(),
            first_seen,
            done: record.map(|record| record.done.clone()).unwrap_or_default(),
            down: DownMachines::default(),
            draining: BTreeMap::new(),
            evicted: None,
            listed: wave.machines.iter().cloned().collect(),
            wave,
        };
        let number = active.wave.number;
        self.machines.waves.insert(number, active);
        self.count_earlier_for(number, now);
        self.machines.waves_changed = true;
    }

    /// Returns the states of the waves to make durable, if they have changed.
    pub fn take_wave_changes(&mut self) -> Option<Vec<(WaveRecord, WaveState)>> {
        if !std::mem::take(&mut self.machines.waves_changed) {
            return None;
        }
        let record = |active: &ActiveWave| {
            let state = if active.is_complete() { WaveState::Complete } else { WaveState::Running };
            let durable = WaveRecord {
                number: active.wave.number,
                first_seen: active.first_seen,
                done: active.done.clone(),
            };
            (durable, state)
        };
        Some(self.machines.waves.values().map(record).collect())
    }

    /// Marks the states of the waves as changed again, after they could not be
    /// written.
    pub fn restore_wave_changes(&mut self) {
        self.machines.waves_changed = true;
    }

    /// Whether an up-to-date list of machines is needed now.
    pub fn needs_machine_list(&self) -> bool {
        self.machines.waves.values().any(|active| !active.is_complete()) || self.uses_spare_pool()
    }

    /// Advances all waves.
    pub(crate) fn maintain(&mut self, now: Instant) {
        self.expire_commands(now);
        let numbers: Vec<_> = self.machines.waves.keys().copied().collect();
        for number in numbers {
            self.choose_machines(number, now);
            self.evict_for_wave(number, now);
            self.drain_machines(number, now);
        }
    }

    /// Drops commands whose answer is overdue.
    fn expire_commands(&mut self, now: Instant) {
        self.machines
            .commands
            .retain(|_, sent| now.saturating_duration_since(sent.at) < COMMAND_TIMEOUT * 3);
    }

    pub(crate) fn is_up(&self, machine: &SmolStr) -> bool {
        self.machines.list.get(machine).is_some_and(|each| each.state == MachineState::Up)
    }

    /// Whether all that runs on a machine is known here.
    pub(crate) fn is_state_known(&self, machine: &SmolStr, now: Instant) -> bool {
        // A worker that has not registered or answered yet may run attempts
        // that an earlier leader started and that this leader does not know.
        let registered = now.saturating_duration_since(self.leader_since) > REGISTRATION_TIME;
        if let Some(key) = self.worker_on(machine) {
            let worker = &self.workers[key];
            let finished = worker.attempts.is_empty() && now > worker.lease_end;
            return match worker.unreachable_since {
                None => worker.polled,
                Some(_) => finished && (worker.polled || registered),
            };
        }
        let pool = self.machines.list.get(machine).map(|each| &each.pool);
        let spare =
            pool.and_then(|pool| self.config.pools.get(pool)).is_some_and(|pool| pool.spare);
        spare || registered
    }

    /// Evicts continuous tasks from the machines that are being drained, and
    /// commands maintenance of those that are empty. Other tasks get
    /// [`DRAIN_TIME`] to end unless the wave is due soon.
    fn drain_machines(&mut self, number: u64, now: Instant) {
        let Some(active) = self.machines.waves.get(&number) else { return };
        let draining: Vec<_> =
            active.draining.iter().map(|(m, &since)| (m.clone(), since)).collect();
        let due_soon = active.due.saturating_duration_since(now) < WAVE_MARGIN;
        for (machine, since) in draining {
            let key = self.worker_on(&machine);
            if let Some(key) = key {
                self.workers[key].cordoned = true;
                self.evict_continuous(key, now);
            }
            let waited = now.saturating_duration_since(since) > DRAIN_TIME;
            let empty = self.is_state_known(&machine, now)
                && key.is_none_or(|key| self.is_drained(key, waited || due_soon));
            if empty
                && self.is_within_limit(number, &machine, now)
                && self.machines.may_command(&machine, now)
            {
                self.command_machine(MachineCommand::Maintain { machine, wave: number }, now);
            }
        }
    }

    /// Whether a worker has no attempt left that should end before it goes;
    /// only attempts of continuous tasks if `only_continuous`.
    pub(crate) fn is_drained(&self, key: WorkerKey, only_continuous: bool) -> bool {
        self.workers[key].attempts.iter().all(|&attempt| {
            let spec = self.spec_of(self.attempts[attempt].task);
            only_continuous && spec.is_some_and(|spec| !spec.continuous)
        })
    }

    /// Records that a machine gets its maintenance for a wave now, or needs
    /// none because it does not exist. It counts as down until a list shows it up.
    pub(crate) fn maintained(&mut self, wave: u64, machine: &SmolStr, now: Instant) {
        let down = Down::begun(now, self.down_time());
        let Some(active) = self.machines.waves.get_mut(&wave) else { return };
        active.done.insert(machine.clone());
        active.draining.remove(machine);
        active.down.insert(machine.clone(), down);
        self.machines.waves_changed = true;
    }
}
