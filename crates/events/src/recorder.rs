//! Recording of events in bounded memory.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vg_base::Clock;

use crate::{Code, Event, Field, HybridClock, Level, Stamp};

/// Events kept by one process, with what is missing before them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The process, as `node/incarnation`.
    pub source: SmolStr,
    /// Events that were dropped to stay within memory.
    pub dropped: u64,
    /// The kept events, oldest first.
    pub events: Vec<Event>,
}

/// Records the events of one process. Clones share the same record.
#[derive(Debug, Clone)]
pub struct Recorder<C> {
    inner: Arc<Inner<C>>,
}

#[derive(Debug)]
struct Inner<C> {
    clock: HybridClock<C>,
    source: SmolStr,
    capacity: usize,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    next: u64,
    events: VecDeque<Event>,
}

impl<C: Clock> Recorder<C> {
    /// Makes a recorder that keeps the latest `capacity` events.
    pub fn new(clock: C, source: impl Into<SmolStr>, capacity: usize) -> Recorder<C> {
        let clock = HybridClock::new(clock);
        let kept = Mutex::default();
        Recorder { inner: Arc::new(Inner { clock, source: source.into(), capacity, kept }) }
    }

    /// Returns the hybrid clock that stamps the events.
    pub fn clock(&self) -> &HybridClock<C> {
        &self.inner.clock
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, code: Code, fields: impl IntoIterator<Item = Field>) -> Stamp {
        let mut kept = self.lock();
        // The stamp is taken under the lock: serial and stamp grow together.
        let stamp = self.inner.clock.stamp();
        let event = Event {
            stamp,
            serial: kept.next,
            source: self.inner.source.clone(),
            code,
            fields: fields.into_iter().collect(),
        };
        log::log!(target: "events", log_level(code.level()), "{event}");
        kept.next += 1;
        kept.events.push_back(event);
        if kept.events.len() > self.inner.capacity {
            kept.events.pop_front();
        }
        stamp
    }

    /// Returns the kept events from serial number `from` on, at most `most`.
    pub fn window(&self, from: u64, most: usize) -> Window {
        let kept = self.lock();
        let first = kept.events.front().map_or(kept.next, |event| event.serial);
        let events = kept.events.iter().filter(|event| event.serial >= from);
        Window {
            source: self.inner.source.clone(),
            dropped: first.saturating_sub(from),
            events: events.take(most).cloned().collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.inner.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn log_level(level: Level) -> log::Level {
    match level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    }
}
