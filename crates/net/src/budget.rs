//! Limits the memory that a process holds for its clients.
//!
//! The load that it answers: many clients whose requests never end, or that don't read
//! their answers. Whoever has kept the process waiting longest gives way, so that callers
//! that send whole requests are served beside them.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SlotMap;
use tokio::sync::Notify;

use crate::limits::Limits;

/// Estimate of the bytes of a connection without its read buffer and a body.
const CONNECTION_BYTES: usize = 16 * 1024;
/// One request may hold this part of the budget at most.
const REQUEST_SHARE: usize = 2;

slotmap::new_key_type! {
    /// Identifies an open connection.
    struct ConnectionKey;
}

/// Position in the order in which connections give way.
type Position = u64;

/// The bytes that all servers of a process may hold for connections, unfinished requests
/// and unread answers together. Clones share them.
#[derive(Debug, Clone)]
pub struct Budget {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limit: usize,
    ledger: Mutex<Ledger>,
    /// Notified when a connection that gives way has released what it held.
    released: Notify,
    evicted: AtomicU64,
    refused: AtomicU64,
}

/// What the clients of a process hold, see [`Budget::usage`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Bytes held.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections that gave way since the start.
    pub evicted: u64,
    /// Number of connections and requests refused since the start.
    pub refused: u64,
}

/// The budget or a limit on connections is exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Exhausted;

/// One listener of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Listener(usize);

#[derive(Debug, Default)]
struct Ledger {
    held: usize,
    /// Part of `held` that belongs to connections that give way.
    leaving: usize,
    connections: SlotMap<ConnectionKey, Entry>,
    /// Connections that may give way, the longest waiting first.
    evictable: BTreeMap<Position, ConnectionKey>,
    next: Position,
    /// Number of open connections by listener.
    open: Vec<usize>,
}

#[derive(Debug)]
struct Entry {
    listener: Listener,
    /// Bytes of the connection and of its read buffer, which holds the headers.
    base: usize,
    /// Bytes of the request that is read or served.
    request: usize,
    /// Bytes of responses that are not flushed.
    response: usize,
    phase: Phase,
    /// Whether the connection gives way.
    leaving: bool,
    /// Position among those that may give way.
    position: Option<Position>,
    signals: Arc<Signals>,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for the headers of a request.
    Waiting,
    /// Reads the body of a request.
    Reading,
    /// Handles a request.
    Serving,
    /// Writes a response.
    Responding,
}

impl Entry {
    fn held(&self) -> usize {
        self.base + self.request + self.response
    }
}

/// How a connection learns that it gives way.
#[derive(Debug, Default)]
struct Signals {
    /// The body that is being read is to be refused.
    refuse: Notify,
    /// The connection is to be closed.
    close: Notify,
}

impl Default for Budget {
    /// A budget without a limit.
    fn default() -> Budget {
        Budget::new(usize::MAX)
    }
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Budget {
        let inner = Inner {
            limit,
            ledger: Mutex::default(),
            released: Notify::new(),
            evicted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        };
        Budget { inner: Arc::new(inner) }
    }

    /// Returns what is held now.
    pub fn usage(&self) -> Usage {
        let ledger = self.lock();
        Usage {
            bytes: ledger.held,
            connections: ledger.open.iter().sum(),
            evicted: self.inner.evicted.load(Ordering::Relaxed),
            refused: self.inner.refused.load(Ordering::Relaxed),
        }
    }

    /// Adds a listener.
    pub(crate) fn add_listener(&self) -> Listener {
        let open = &mut self.lock().open;
        open.push(0);
        Listener(open.len() - 1)
    }

    /// Registers a new connection. If the listener has as many as it may or the budget is
    /// exhausted, the longest waiting connections give way.
    pub(crate) fn admit(
        &self,
        listener: Listener,
        limits: Limits,
    ) -> Result<Connection, Exhausted> {
        let mut ledger = self.lock();
        if ledger.open[listener.0] >= limits.max_connections {
            let found = ledger.longest_waiting(|entry| entry.listener == listener);
            let victim = found.ok_or(Exhausted).inspect_err(|_| self.count_refusal())?;
            self.evict(&mut ledger, victim);
        }
        let base = CONNECTION_BYTES + limits.max_header_bytes;
        self.make_room(&mut ledger, base, None)?;
        let signals = Arc::new(Signals::default());
        let entry = Entry {
            listener,
            base,
            request: 0,
            response: 0,
            phase: Phase::Waiting,
            leaving: false,
            position: None,
            signals: Arc::clone(&signals),
        };
        ledger.held += base;
        ledger.open[listener.0] += 1;
        let key = ledger.connections.insert(entry);
        ledger.queue(key);
        drop(ledger);
        let inner = ConnectionInner {
            budget: self.clone(),
            limits,
            key,
            signals,
            responding: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        };
        Ok(Connection { inner: Arc::new(inner) })
    }

    /// Evicts the longest waiting connections until `bytes` more fit once these have
    /// released what they hold.
    fn make_room(
        &self,
        ledger: &mut Ledger,
        bytes: usize,
        asker: Option<ConnectionKey>,
    ) -> Result<(), Exhausted> {
        while (ledger.held - ledger.leaving).saturating_add(bytes) > self.inner.limit {
            let Some(victim) = ledger.longest_waiting(|_| true) else {
                self.count_refusal();
                return Err(Exhausted);
            };
            self.evict(ledger, victim);
            if asker == Some(victim) {
                return Err(Exhausted);
            }
        }
        Ok(())
    }

    fn evict(&self, ledger: &mut Ledger, victim: ConnectionKey) {
        self.inner.evicted.fetch_add(1, Ordering::Relaxed);
        let Some(entry) = ledger.dismiss(victim) else { return };
        if entry.phase == Phase::Reading {
            entry.signals.refuse.notify_one();
        } else {
            entry.signals.close.notify_one();
        }
    }

    fn count_refusal(&self) {
        self.inner.refused.fetch_add(1, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.inner.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ledger {
    fn longest_waiting(&self, is_meant: impl Fn(&Entry) -> bool) -> Option<ConnectionKey> {
        self.evictable.values().copied().find(|&key| is_meant(&self.connections[key]))
    }

    /// Lets a connection give way after those that wait now.
    fn queue(&mut self, key: ConnectionKey) {
        self.keep(key);
        let Some(entry) = self.connections.get_mut(key).filter(|entry| !entry.leaving) else {
            return;
        };
        entry.position = Some(self.next);
        self.evictable.insert(self.next, key);
        self.next += 1;
    }

    /// Keeps a connection from giving way.
    fn keep(&mut self, key: ConnectionKey) {
        let position = self.connections.get_mut(key).and_then(|entry| entry.position.take());
        if let Some(position) = position {
            self.evictable.remove(&position);
        }
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: Phase) {
        match phase {
            Phase::Waiting | Phase::Reading => self.queue(key),
            Phase::Serving | Phase::Responding => self.keep(key),
        }
        if let Some(entry) = self.connections.get_mut(key) {
            entry.phase = phase;
        }
    }

    /// Marks a connection as one that gives way. What it holds stays counted until it is
    /// released, but for what a client that doesn't read its refusal could keep.
    fn dismiss(&mut self, key: ConnectionKey) -> Option<&Entry> {
        self.keep(key);
        let entry = self.connections.get_mut(key)?;
        entry.leaving = true;
        if entry.phase == Phase::Reading {
            self.held -= entry.base + entry.response;
            entry.base = 0;
            entry.response = 0;
        }
        self.leaving += entry.held();
        self.open[entry.listener.0] -= 1;
        Some(entry)
    }

    fn is_leaving(&self, key: ConnectionKey) -> bool {
        self.connections.get(key).is_none_or(|entry| entry.leaving)
    }

    fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.connections.get(key).map(|entry| entry.phase)
    }

    fn set_request(&mut self, key: ConnectionKey, bytes: usize) {
        let Some(entry) = self.connections.get_mut(key) else { return };
        self.held = self.held - entry.request + bytes;
        if entry.leaving {
            self.leaving = self.leaving - entry.request + bytes;
        }
        entry.request = bytes;
    }

    fn set_response(&mut self, key: ConnectionKey, bytes: usize) {
        let Some(entry) = self.connections.get_mut(key) else { return };
        self.held = self.held - entry.response + bytes;
        if entry.leaving {
            self.leaving = self.leaving - entry.response + bytes;
        }
        entry.response = bytes;
    }

    fn remove(&mut self, key: ConnectionKey) -> Option<Entry> {
        self.keep(key);
        let entry = self.connections.remove(key)?;
        self.held -= entry.held();
        if entry.leaving {
            self.leaving -= entry.held();
        } else {
            self.open[entry.listener.0] -= 1;
        }
        Some(entry)
    }
}

tokio::task_local! {
    /// The connection that the current task serves.
    static CURRENT: Connection;
}

/// An open connection. What it holds is released when the last clone is dropped, or when
/// the connection has given way.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    inner: Arc<ConnectionInner>,
}

#[derive(Debug)]
struct ConnectionInner {
    budget: Budget,
    limits: Limits,
    key: ConnectionKey,
    signals: Arc<Signals>,
    /// Whether the service has returned a response that is not flushed.
    responding: AtomicBool,
    /// Whether the body of that response has ended.
    ended: AtomicBool,
}

impl Connection {
    /// Returns the connection that the current task serves.
    pub(crate) fn current() -> Option<Connection> {
        CURRENT.try_with(Connection::clone).ok()
    }

    /// Runs a future as the one that serves this connection.
    pub(crate) async fn scope<F: Future>(&self, serve: F) -> F::Output {
        CURRENT.scope(self.clone(), serve).await
    }

    /// Returns the limits of the listener.
    pub(crate) fn limits(&self) -> Limits {
        self.inner.limits
    }

    /// Returns when the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.inner.signals.close.notified().await;
    }

    /// Returns when the body that is being read has to be refused.
    pub(crate) async fn refused(&self) {
        self.inner.signals.refuse.notified().await;
    }

    /// Begins a request. Returns whether the connection has not given way.
    pub(crate) fn begin(&self) -> bool {
        let mut ledger = self.lock();
        ledger.set_phase(self.inner.key, Phase::Serving);
        !ledger.is_leaving(self.inner.key)
    }

    /// Returns whether the connection has given way.
    pub(crate) fn is_evicted(&self) -> bool {
        self.lock().is_leaving(self.inner.key)
    }

    /// Begins to read a body; the guard's drop ends it.
    pub(crate) fn read(&self) -> Reading {
        self.lock().set_phase(self.inner.key, Phase::Reading);
        Reading(self.clone())
    }

    /// Begins a response whose body has `bytes` bytes, and releases the request. The
    /// response is written in any case: the request may have had an effect.
    pub(crate) fn respond(&self, bytes: usize) {
        let key = self.inner.key;
        self.inner.ended.store(false, Ordering::Release);
        self.inner.responding.store(true, Ordering::Release);
        let mut ledger = self.lock();
        ledger.set_phase(key, Phase::Responding);
        ledger.set_request(key, 0);
        if ledger.is_leaving(key) {
            return;
        }
        // If nobody gives way, the response is counted beyond the limit.
        let _ = self.inner.budget.make_room(&mut ledger, bytes, None);
        let unflushed = ledger.connections.get(key).map_or(0, |entry| entry.response);
        ledger.set_response(key, unflushed + bytes);
    }

    /// Notes that the body of the response has ended.
    pub(crate) fn end_response(&self) {
        self.inner.ended.store(true, Ordering::Release);
    }

    /// Notes that the system has taken over all that was written.
    pub(crate) fn flushed(&self) {
        let ConnectionInner { responding, ended, key, .. } = &*self.inner;
        if !responding.load(Ordering::Acquire) || !ended.load(Ordering::Acquire) {
            return;
        }
        responding.store(false, Ordering::Release);
        let mut ledger = self.lock();
        ledger.set_response(*key, 0);
        if ledger.phase(*key) == Some(Phase::Responding) {
            ledger.set_phase(*key, Phase::Waiting);
        }
    }

    /// Notes that the client does not take what is written.
    pub(crate) fn stalled(&self) {
        let mut ledger = self.lock();
        let entry = ledger.connections.get(self.inner.key);
        if entry.is_some_and(|each| each.phase == Phase::Responding && each.position.is_none()) {
            ledger.queue(self.inner.key);
        }
    }

    /// Notes that the client takes what is written again.
    pub(crate) fn resumed(&self) {
        let mut ledger = self.lock();
        if ledger.phase(self.inner.key) == Some(Phase::Responding) {
            ledger.keep(self.inner.key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.inner.budget.lock()
    }
}

impl Drop for ConnectionInner {
    fn drop(&mut self) {
        if self.budget.lock().remove(self.key).is_some_and(|entry| entry.leaving) {
            self.budget.inner.released.notify_waiters();
        }
    }
}

/// A body that is being read. While it is, the connection may give way.
#[derive(Debug)]
pub(crate) struct Reading(Connection);

impl Reading {
    /// Counts `bytes` more for the body. Fails if the connection has given way or one
    /// request would hold more than its share.
    ///
    /// Returns when those that give way for it have released what they hold, which does
    /// not depend on their clients.
    pub(crate) async fn grow(&self, bytes: usize) -> Result<(), Exhausted> {
        let released = &self.0.inner.budget.inner.released;
        loop {
            let mut notified = pin!(released.notified());
            notified.as_mut().enable();
            if self.try_grow(bytes)? {
                return Ok(());
            }
            notified.await;
        }
    }

    /// Returns whether the bytes were counted; `false` if room for them is being made.
    fn try_grow(&self, bytes: usize) -> Result<bool, Exhausted> {
        let Connection { inner } = &self.0;
        let mut ledger = inner.budget.lock();
        if ledger.is_leaving(inner.key) {
            return Err(Exhausted);
        }
        let request = ledger.connections.get(inner.key).ok_or(Exhausted)?.request + bytes;
        if request > inner.budget.inner.limit / REQUEST_SHARE {
            inner.budget.count_refusal();
            return Err(Exhausted);
        }
        inner.budget.make_room(&mut ledger, bytes, Some(inner.key))?;
        if ledger.held.saturating_add(bytes) > inner.budget.inner.limit {
            return Ok(false);
        }
        ledger.set_request(inner.key, request);
        Ok(true)
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let inner = &self.0.inner;
        let mut ledger = inner.budget.lock();
        ledger.set_phase(inner.key, Phase::Serving);
        if ledger.is_leaving(inner.key) {
            ledger.set_request(inner.key, 0);
            inner.budget.inner.released.notify_waiters();
        }
    }
}
