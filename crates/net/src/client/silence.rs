//! Which calls say that the connections to their address are silent.
//!
//! Connections may fall silent for good, one or all to an address, without a reset and
//! while new ones work. Only a call without an answer shows it, and costs its whole time
//! limit, so it must not be paid again for each unused connection of the pool. A call
//! speaks for all connections that were open when it was sent, unless one of them has
//! brought an answer since: then only its own is closed. Else all unused connections to the
//! address are left behind, and the next call opens a new one. Calls that wait for their
//! answers keep their connections.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::uri::Authority;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::connector::{Opened, Position};

slotmap::new_key_type! {
    /// Key of a call that waits for its answer.
    struct CallKey;
}

/// A call that waits for its answer.
#[derive(Debug)]
struct WaitingCall {
    sent: Position,
    /// Whether its silence says anything of the unused connections: none that was open when
    /// it was sent has brought an answer since, and all are still in use.
    is_telling: bool,
}

/// The pool that replaces the shared one for an address.
#[derive(Debug)]
struct Replacement<P> {
    pool: P,
    /// When the connections of the shared pool that were unused at the replacement are closed.
    until: Instant,
}

#[derive(Debug)]
struct Addresses<P> {
    calls: HashMap<Authority, SlotMap<CallKey, WaitingCall>>,
    replaced: HashMap<Authority, Replacement<P>>,
}

/// The calls of a client, and the addresses whose connections were left behind. `P` is a
/// pool of connections.
#[derive(Debug)]
pub(super) struct Silence<P> {
    addresses: Arc<Mutex<Addresses<P>>>,
}

impl<P> Clone for Silence<P> {
    fn clone(&self) -> Silence<P> {
        Silence { addresses: Arc::clone(&self.addresses) }
    }
}

impl<P> Default for Silence<P> {
    fn default() -> Silence<P> {
        let addresses = Addresses { calls: HashMap::new(), replaced: HashMap::new() };
        Silence { addresses: Arc::new(Mutex::new(addresses)) }
    }
}

impl<P: Clone> Silence<P> {
    /// Registers a call that is being sent to an address.
    pub(super) fn begin(&self, to: Authority, sent: Position) -> Call<P> {
        let waiting = WaitingCall { sent, is_telling: true };
        let key = self.lock().calls.entry(to.clone()).or_default().insert(waiting);
        Call { silence: self.clone(), to, key }
    }

    fn lock(&self) -> MutexGuard<'_, Addresses<P>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that waits for its answer; dropped when it no longer does.
#[derive(Debug)]
pub(super) struct Call<P: Clone> {
    silence: Silence<P>,
    to: Authority,
    key: CallKey,
}

impl<P: Clone> Call<P> {
    /// Returns the pool to use in place of the shared one, if there is one.
    pub(super) fn replacement(&self, now: Instant) -> Option<P> {
        let mut addresses = self.silence.lock();
        let replacement = addresses.replaced.get(&self.to)?;
        if replacement.until <= now {
            addresses.replaced.remove(&self.to);
            return None;
        }
        Some(replacement.pool.clone())
    }

    /// Notes that a connection has brought an answer.
    pub(super) fn answered(&self, opened: Opened) {
        let mut addresses = self.silence.lock();
        let calls =
            addresses.calls.get_mut(&self.to).into_iter().flat_map(|calls| calls.iter_mut());
        for (_, call) in calls.filter(|(_, call)| opened.0 < call.sent) {
            call.is_telling = false;
        }
    }

    /// Notes that no answer came in time. If that tells of the unused connections, calls to
    /// the address use `new_pool` from now on, for as long as the shared one may have
    /// connections that were unused all the while, which is `idle_timeout`. Returns whether
    /// that is so.
    pub(super) fn unanswered(
        &self,
        new_pool: impl FnOnce() -> P,
        now: Instant,
        idle_timeout: Duration,
    ) -> bool {
        let mut addresses = self.silence.lock();
        let call = addresses.calls.get(&self.to).and_then(|calls| calls.get(self.key));
        if !call.is_some_and(|call| call.is_telling) {
            return false;
        }
        // The others that wait were sent over the connections that are left behind.
        if let Some(calls) = addresses.calls.get_mut(&self.to) {
            calls.values_mut().for_each(|call| call.is_telling = false);
        }
        addresses.replaced.retain(|_, replacement| replacement.until > now);
        let replacement = Replacement { pool: new_pool(), until: now + idle_timeout };
        addresses.replaced.insert(self.to.clone(), replacement);
        true
    }
}

impl<P: Clone> Drop for Call<P> {
    fn drop(&mut self) {
        let mut addresses = self.silence.lock();
        let Some(calls) = addresses.calls.get_mut(&self.to) else { return };
        calls.remove(self.key);
        if calls.is_empty() {
            addresses.calls.remove(&self.to);
        }
    }
}
