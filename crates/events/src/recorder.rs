//! Records the events of a process in bounded memory and in the log.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vg_base::Clock;

use crate::{Code, Event, Field, HybridClock, Level, Stamp};

/// Retained events of one process and the number of dropped events before them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The process, as `node/incarnation`.
    pub source: SmolStr,
    /// Number of requested events that the recorder has dropped because its
    /// capacity is limited.
    pub dropped: u64,
    /// The retained events, oldest first.
    pub events: Vec<Event>,
}

/// Records the events of one process. Clones share the same events.
#[derive(Debug, Clone)]
pub struct Recorder<C> {
    inner: Arc<Inner<C>>,
}

#[derive(Debug)]
struct Inner<C> {
    clock: HybridClock<C>,
    source: SmolStr,
    capacity: usize,
    buffer: Mutex<EventBuffer>,
}

#[derive(Debug, Default)]
struct EventBuffer {
    next_serial: u64,
    events: VecDeque<Event>,
}

impl<C: Clock> Recorder<C> {
    /// Creates a recorder that retains the latest `capacity` events.
    pub fn new(clock: C, source: impl Into<SmolStr>, capacity: usize) -> Recorder<C> {
        let clock = HybridClock::new(clock);
        let buffer = Mutex::default();
        Recorder { inner: Arc::new(Inner { clock, source: source.into(), capacity, buffer }) }
    }

    /// Returns the hybrid clock that stamps the events.
    pub fn clock(&self) -> &HybridClock<C> {
        &self.inner.clock
    }

    /// Records an event, writes it to the log and returns its stamp.
    pub fn record(&self, code: Code, fields: impl IntoIterator<Item = Field>) -> Stamp {
        let mut buffer = self.lock();
        // The stamp is taken under the lock so that stamps increase in the order
        // of serial numbers.
        let stamp = self.inner.clock.stamp();
        let event = Event {
            stamp,
            serial: buffer.next_serial,
            source: self.inner.source.clone(),
            code,
            fields: fields.into_iter().collect(),
        };
        log::log!(target: "events", log_level(code.level()), "{event}");
        buffer.next_serial += 1;
        buffer.events.push_back(event);
        if buffer.events.len() > self.inner.capacity {
            buffer.events.pop_front();
        }
        stamp
    }

    /// Returns at most `max_events` retained events, starting with the serial
    /// number `from`.
    pub fn window(&self, from: u64, max_events: usize) -> Window {
        let buffer = self.lock();
        let first = buffer.events.front().map_or(buffer.next_serial, |event| event.serial);
        let events = buffer.events.iter().filter(|event| event.serial >= from);
        Window {
            source: self.inner.source.clone(),
            dropped: first.saturating_sub(from),
            events: events.take(max_events).cloned().collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, EventBuffer> {
        self.inner.buffer.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
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
