//! One instance and the slots that are in use there.

use vg_base::prelude::*;

use super::EndpointInfo;
use super::health::Record;

/// Calls that run at an instance at once.
pub(crate) const SLOTS: u32 = 8;
/// Connections to an instance at once.
pub(crate) const CONNECTIONS: u32 = 64;
/// Slots that a new or restored instance starts with.
const FIRST_SLOTS: u32 = 2;
/// Time in which a new or restored instance comes to all its slots.
const SLOW_START: Duration = Duration::from_secs(6);
/// Least success rate that the load is divided by.
const LEAST_SUCCESS: f64 = 0.05;

/// One instance and the slots that are in use there.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) info: EndpointInfo,
    /// Whether the list in use shows it.
    pub(crate) listed: bool,
    /// Calls that run there.
    pub(crate) running: u32,
    /// Slots of our own calls that were lost, and until when they count.
    pub(crate) lingering: Vec<Instant>,
    /// Slots of an earlier owner's calls, and until when they count.
    pub(crate) earlier: Vec<Instant>,
    pub(crate) connections: u32,
    pub(crate) record: Record,
    /// Since when it takes calls; nothing: it took calls before we knew it.
    pub(crate) since: Option<Instant>,
    /// Position of its last call in the order of all calls.
    pub(crate) turn: u64,
}

impl Instance {
    pub(crate) fn new(info: EndpointInfo, since: Option<Instant>) -> Instance {
        Instance {
            info,
            listed: true,
            running: 0,
            lingering: Vec::new(),
            earlier: Vec::new(),
            connections: 0,
            record: Record::default(),
            since,
            turn: 0,
        }
    }

    /// Slots in use.
    pub(crate) fn used(&self) -> u32 {
        self.running + (self.lingering.len() + self.earlier.len()) as u32
    }

    /// Whether it may get new calls as far as the list goes.
    pub(crate) fn is_open(&self) -> bool {
        self.listed && !self.info.leaving
    }

    /// Slots that it may use now, fewer while it starts.
    pub(crate) fn allowed(&self, now: Instant) -> u32 {
        let Some(since) = self.since else { return SLOTS };
        let part = now.saturating_duration_since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        let more = f64::from(SLOTS - FIRST_SLOTS) * part.min(1.0);
        FIRST_SLOTS + more as u32
    }

    /// Whether a further call may run there.
    pub(crate) fn has_slot(&self, now: Instant) -> bool {
        self.is_open() && !self.record.is_ejected() && self.used() < self.allowed(now)
    }

    /// Load after one more call, in parts of what it may carry. Failures count
    /// as load, so that an instance that fails fast does not look idle.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let used = f64::from(self.used() + 1) / f64::from(self.allowed(now));
        used / (1.0 - self.record.rate).max(LEAST_SUCCESS)
    }

    /// Frees the slot without a call of ours whose time is over first.
    pub(crate) fn drop_soonest(&mut self) {
        let soonest = |list: &[Instant]| list.iter().copied().enumerate().min_by_key(|each| each.1);
        let (own, earlier) = (soonest(&self.lingering), soonest(&self.earlier));
        match (own, earlier) {
            (Some((at, own)), Some((_, earlier))) if own <= earlier => {
                self.lingering.swap_remove(at);
            }
            (_, Some((at, _))) => drop(self.earlier.swap_remove(at)),
            (Some((at, _)), None) => drop(self.lingering.swap_remove(at)),
            (None, None) => {}
        }
    }

    /// Frees the slots whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lingering.retain(|until| *until > now);
        self.earlier.retain(|until| *until > now);
    }
}
