//! Workers that start again while calls to them are on their way, and that are cut off soon
//! after, with or without a change of the leader between.

use rand::Rng;

use super::world::{STEP_MS, World};

/// Longest time after which a restart is seen, and a call to the earlier life arrives.
const SOON_MS: u64 = 600;
/// Times from a restart to a change of the leader, in milliseconds.
const TAKEOVER_MS: std::ops::Range<u64> = 100..1800;
/// Times from a restart to the cut, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 300..2500;
/// Durations of a cut in milliseconds. The longest lease lasts for 10 s.
const CUT_LENGTH_MS: std::ops::Range<u64> = 3000..15_000;

/// What is to come after a restart.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The registrations are read.
    Register,
    /// The leader changes.
    Takeover,
    /// A worker is cut off, until the given time.
    Cut(usize, u64),
}

/// The events that are to come, and when.
#[derive(Debug, Default)]
pub(crate) struct Recuts {
    due: Vec<(u64, Event)>,
}

impl World {
    /// Starts a worker again while calls are on their way, and lets a cut follow.
    pub(super) fn begin_recut(&mut self) {
        let at = self.rng.random_range(0..self.workers.len());
        let ms = self.ms;
        if self.rng.random_bool(0.5) && self.workers[at].reachable {
            let delay_ms = self.rng.random_range(STEP_MS..SOON_MS);
            self.send_late_poll(at, delay_ms);
        }
        self.hasten_late_starts(at);
        self.restart_unseen(at);
        match self.rng.random_bool(0.5) {
            true => self.register(),
            false => {
                let seen = ms + self.rng.random_range(STEP_MS..SOON_MS);
                self.recuts.due.push((seen, Event::Register));
            }
        }
        if self.rng.random_bool(0.5) {
            let takeover = ms + self.rng.random_range(TAKEOVER_MS);
            self.recuts.due.push((takeover, Event::Takeover));
        }
        let cut = ms + self.rng.random_range(CUT_MS);
        let until = cut + self.rng.random_range(CUT_LENGTH_MS);
        self.recuts.due.push((cut, Event::Cut(at, until)));
    }

    /// Carries out the events that are due.
    pub(super) fn advance_recuts(&mut self) {
        let ms = self.ms;
        let due: Vec<_> = self.recuts.due.extract_if(.., |due| due.0 <= ms).collect();
        for (_, event) in due {
            match event {
                Event::Register => self.register(),
                Event::Takeover if self.inbox.is_paused() => self.change_leader(),
                Event::Takeover => match self.rng.random_range(0..3) {
                    0 => self.lead_again(),
                    1 => self.planned_handover(),
                    _ => self.change_leader(),
                },
                Event::Cut(at, until) => self.cut_off(at, until),
            }
        }
    }

    /// Ends what is to come, apart from registrations.
    pub(super) fn end_recuts(&mut self) {
        self.recuts.due.retain(|(_, event)| matches!(event, Event::Register));
    }

    /// Lets the late starts that were sent to a worker arrive soon, with an even chance each.
    fn hasten_late_starts(&mut self, worker: usize) {
        for at in 0..self.delayed_starts.len() {
            if self.delayed_starts[at].worker == worker && self.rng.random_bool(0.5) {
                let delay_ms = self.rng.random_range(STEP_MS..SOON_MS);
                self.delayed_starts[at].at = self.ms + delay_ms;
            }
        }
    }
}
