//! Faults of a simulated fleet, and how they strike and end.

use rand::Rng;

use super::world::World;

/// Fault rates, in thousandths of messages or of steps.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Starts whose answer is lost after they took effect.
    pub(crate) unanswered: u32,
    /// Starts that take effect 2 to 12 s later.
    pub(crate) delayed: u32,
    /// Starts that never arrive.
    pub(crate) dropped: u32,
    /// Attempts that fail.
    pub(crate) failures: u32,
    /// Restarts of a worker, per step.
    pub(crate) restarts: u32,
    /// Crashes of a worker, which is back after some seconds, per step.
    pub(crate) crashes: u32,
    /// Restarts of a worker whose registration comes up to 0.6 s later, per step. Polls that
    /// were sent before may be answered by the later life.
    pub(crate) unseen_restarts: u32,
    /// Interrupted connections between the leader and a worker, per step.
    pub(crate) partitions: u32,
    /// Takeovers by another leader, per step.
    pub(crate) takeovers: u32,
    /// Leaders that give up and lead again, per step.
    pub(crate) returns: u32,
    /// Outages of the store, per step.
    pub(crate) outages: u32,
    /// Cancellations of some open job, per step.
    pub(crate) cancels: u32,
    /// Commands to machines that are refused.
    pub(crate) refusals: u32,
    /// Commands to machines that are not answered, half of which are carried out.
    pub(crate) lost_commands: u32,
    /// Commands to a machine service that are carried out 1 to 12 s later, without an answer.
    pub(crate) late_commands: u32,
    /// Commands to a machine service that are answered up to 0.9 s later.
    pub(crate) slow_commands: u32,
    /// Lists of machines that are read up to 4 s after they were asked for.
    pub(crate) old_lists: u32,
    /// Waves of maintenance that are requested from a machine service, per step.
    pub(crate) waves: u32,
    /// Leaders that stand still for 1 to 4 s after their commands were sent, per step.
    pub(crate) pauses: u32,
    /// Starts that reach an unseen life, after which a poll is late and the worker is cut off.
    pub(crate) unseen_cuts: u32,
    /// Workers that come back on each other's machines, per step.
    pub(crate) swaps: u32,
    /// Workers that get the address of the one before them on their machine.
    pub(crate) taken_addresses: u32,
    /// Polls that are not answered and arrive up to 12 s later.
    pub(crate) late_polls: u32,
    /// Restarts while calls are on their way, with a cut soon after, per step.
    pub(crate) recuts: u32,
    /// Versions of the configuration that move, remove or add a queue, per step.
    pub(crate) versions: u32,
}

#[allow(dead_code, reason = "each test uses a part")]
impl Faults {
    /// All faults of hosts, workers and links together.
    pub(crate) const ALL: Faults = Faults {
        unanswered: 30,
        delayed: 30,
        dropped: 20,
        failures: 30,
        restarts: 3,
        crashes: 0,
        unseen_restarts: 0,
        partitions: 6,
        takeovers: 4,
        returns: 0,
        outages: 4,
        cancels: 0,
        refusals: 0,
        lost_commands: 0,
        late_commands: 0,
        slow_commands: 0,
        old_lists: 0,
        waves: 0,
        pauses: 0,
        unseen_cuts: 0,
        swaps: 0,
        taken_addresses: 0,
        late_polls: 0,
        recuts: 0,
        versions: 0,
    };
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Injects the faults of one step and ends those that are over.
    pub(super) fn inject_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.restarts) {
            let at = self.rng.random_range(0..self.workers.len());
            // Nothing comes back from a machine that was taken away.
            if self.workers[at].up {
                self.restart(at);
            }
        }
        if self.chance(faults.crashes) {
            let up = self.workers.iter().enumerate().filter(|(_, worker)| worker.up);
            let up: Vec<_> = up.map(|(at, _)| at).collect();
            // Both pools keep workers.
            if up.len() > 4 {
                let at = self.rng.random_range(0..up.len());
                self.crash(up[at]);
            }
        }
        self.inject_unseen_restart();
        if self.chance(faults.swaps) {
            self.swap();
        }
        if self.chance(faults.recuts) {
            self.begin_recut();
        }
        self.advance_recuts();
        if self.chance(faults.versions) {
            self.draw_version();
        }
        if self.chance(faults.partitions) {
            let at = self.rng.random_range(0..self.workers.len());
            let until = self.ms + self.rng.random_range(200..9000);
            self.cut_off(at, until);
        }
        let ms = self.ms;
        let healed: Vec<_> = self
            .unreachable_until
            .iter()
            .filter(|(_, until)| **until <= ms)
            .map(|(at, _)| *at)
            .collect();
        for at in healed {
            self.unreachable_until.remove(&at);
            self.workers[at].reachable = true;
        }
        if self.chance(faults.outages) {
            self.outage_until = self.ms + self.rng.random_range(100..4000);
        }
        if self.chance(faults.cancels) {
            self.cancel_some_job();
        }
        if self.chance(faults.pauses) {
            self.pause_at_random();
        }
        let is_paused = self.inbox.is_paused();
        if self.chance(faults.returns) && !is_paused {
            self.lead_again();
        }
        if self.chance(faults.takeovers) && self.ms >= self.outage_until {
            match !is_paused && self.rng.random_bool(0.5) {
                true => self.planned_handover(),
                false => self.change_leader(),
            }
        }
    }

    /// Starts a worker again under its id, of which the leader learns later.
    fn inject_unseen_restart(&mut self) {
        let ms = self.ms;
        let is_drawn = self.chance(self.faults.unseen_restarts);
        let at = if is_drawn { self.rng.random_range(0..self.workers.len()) } else { 0 };
        if is_drawn && self.workers[at].up {
            let registered = self.registered_start(at);
            self.workers[at].restart(ms);
            self.broken_polls.insert(at);
            self.unseen.insert(at, (registered, ms + self.rng.random_range(20..600)));
        }
        let unseen = self.unseen.len();
        self.unseen.retain(|_, (_, due)| *due > ms);
        if self.unseen.len() < unseen {
            self.register();
        }
    }

    /// Cuts a worker off from the leader, until the given time.
    pub(super) fn cut_off(&mut self, at: usize, until: u64) {
        self.workers[at].reachable = false;
        self.unreachable_until.insert(at, until);
    }

    /// Starts a worker again under its id. Start commands that are late may arrive there.
    pub(crate) fn restart(&mut self, at: usize) {
        self.restart_unseen(at);
        self.register();
    }

    /// Starts a worker again under its id. The leader does not learn of it.
    pub(crate) fn restart_unseen(&mut self, at: usize) {
        let ms = self.ms;
        self.workers[at].restart(ms);
    }

    /// Makes the store unavailable for a while: nothing is recorded.
    pub(crate) fn start_store_outage(&mut self, ms: u64) {
        self.outage_until = self.ms + ms;
    }

    /// Ends all faults, so that all waiting work must complete.
    pub(crate) fn end_faults(&mut self) {
        self.faults = Faults::default();
        self.end_recuts();
        self.unreachable_until.clear();
        self.workers.iter_mut().for_each(|worker| worker.reachable = true);
        self.outage_until = 0;
    }
}
