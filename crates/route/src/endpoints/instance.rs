//! One instance of a pool and its slots.

use vg_base::prelude::*;

use super::EndpointInfo;
use super::health::HealthRecord;

/// Number of calls that may run at an instance at once.
pub(crate) const SLOTS_MAX: u32 = 8;
/// Number of connections that may be open to an instance at once.
pub(crate) const CONNECTIONS_MAX: u32 = 64;
/// Number of slots that a new or restored instance may use at first.
const INITIAL_SLOTS: u32 = 2;
/// Time over which the slots of a new or restored instance grow to the full number.
const SLOW_START: Duration = Duration::from_secs(6);
/// Least success rate by which the load is divided, so that the load of an instance
/// whose calls all fail stays finite.
const SUCCESS_RATE_MIN: f64 = 0.05;

/// One instance of a pool, with its health and the slots in use.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) info: EndpointInfo,
    /// Whether the current host list shows the instance.
    pub(crate) listed: bool,
    /// Number of running calls of this owner.
    pub(crate) running: u32,
    /// Slots of this owner's lost calls, by the time until which each counts as in
    /// use.
    pub(crate) lost_calls: Vec<Instant>,
    /// Slots of an earlier owner's calls, by the time until which each counts as in
    /// use.
    pub(crate) inherited: Vec<Instant>,
    pub(crate) connections: u32,
    pub(crate) record: HealthRecord,
    /// Time from which the instance gets calls. `None` if it was in the first host
    /// list of this owner: it may have served calls before, so it starts with all
    /// slots.
    pub(crate) serving_since: Option<Instant>,
    /// Sequence number of the instance's last call among all calls of the pool.
    pub(crate) last_turn: u64,
}

impl Instance {
    pub(crate) fn new(info: EndpointInfo, serving_since: Option<Instant>) -> Instance {
        Instance {
            info,
            listed: true,
            running: 0,
            lost_calls: Vec::new(),
            inherited: Vec::new(),
            connections: 0,
            record: HealthRecord::default(),
            serving_since,
            last_turn: 0,
        }
    }

    /// Returns the number of slots in use.
    pub(crate) fn used(&self) -> u32 {
        self.running + (self.lost_calls.len() + self.inherited.len()) as u32
    }

    /// Whether the host list shows the instance as one that may get new calls.
    pub(crate) fn is_open(&self) -> bool {
        self.listed && !self.info.leaving
    }

    /// Returns the number of slots that may be used now. It grows while the instance
    /// starts.
    pub(crate) fn allowed_slots(&self, now: Instant) -> u32 {
        let Some(since) = self.serving_since else { return SLOTS_MAX };
        let part = now.saturating_duration_since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        let more = f64::from(SLOTS_MAX - INITIAL_SLOTS) * part.min(1.0);
        INITIAL_SLOTS + more as u32
    }

    /// Whether the instance may get another call.
    pub(crate) fn has_slot(&self, now: Instant) -> bool {
        self.is_open() && !self.record.is_ejected() && self.used() < self.allowed_slots(now)
    }

    /// Returns the load after one more call, as a fraction of the allowed slots.
    /// Failures count as load, so that an instance that fails fast does not look
    /// idle and attract calls.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let used = f64::from(self.used() + 1) / f64::from(self.allowed_slots(now));
        used / (1.0 - self.record.failure_rate).max(SUCCESS_RATE_MIN)
    }

    /// Frees the slot, among those of lost calls and of an earlier owner, that would
    /// become free first.
    pub(crate) fn free_soonest(&mut self) {
        let soonest = |list: &[Instant]| list.iter().copied().enumerate().min_by_key(|each| each.1);
        let (own, inherited) = (soonest(&self.lost_calls), soonest(&self.inherited));
        match (own, inherited) {
            (Some((at, own)), Some((_, inherited))) if own <= inherited => {
                self.lost_calls.swap_remove(at);
            }
            (_, Some((at, _))) => drop(self.inherited.swap_remove(at)),
            (Some((at, _)), None) => drop(self.lost_calls.swap_remove(at)),
            (None, None) => {}
        }
    }

    /// Frees the slots of lost calls and of an earlier owner whose time has passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lost_calls.retain(|until| *until > now);
        self.inherited.retain(|until| *until > now);
    }
}
