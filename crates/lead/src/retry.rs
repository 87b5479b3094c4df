//! Retries of calls that callers wait for.
//!
//! Load that this module handles: the store or the peers fail, and each caller that waits
//! repeats its call. Retries are paced for all callers together, so that they are no load of
//! their own when the callee is back, or is slow.

use std::sync::Mutex;

use vg_base::prelude::*;
use vg_call::RetryPacer;
use vg_store::{Entry, Error, Key, Store};

use crate::host::lock;
use crate::{Host, Platform};

/// Delay before a read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time between two retries of callers to the store while most calls fail: the hosts
/// together stay below half of the calls that the store takes.
const STORE_SPACING: Duration = Duration::from_millis(50);
/// The same for calls to peers.
const PEER_SPACING: Duration = Duration::from_millis(20);

/// Time before the caller's deadline by which the answer has to be ready.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Maximum time for which a host retries by itself before it asks peers.
pub(crate) const LOCAL_RETRY_LIMIT: Duration = Duration::from_millis(900);

/// Returns the time by which the answer to a caller has to be ready.
pub(crate) fn answer_deadline(deadline: Instant) -> Instant {
    deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline)
}

/// Whom callers' requests are passed on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Callee {
    Store,
    Peers,
}

/// Retries of the callers of this host.
#[derive(Debug)]
pub(crate) struct CallerRetries {
    store: Mutex<RetryPacer>,
    peers: Mutex<RetryPacer>,
}

impl Default for CallerRetries {
    fn default() -> CallerRetries {
        CallerRetries {
            store: Mutex::new(RetryPacer::new(STORE_SPACING)),
            peers: Mutex::new(RetryPacer::new(PEER_SPACING)),
        }
    }
}

impl CallerRetries {
    fn pacer(&self, callee: Callee) -> &Mutex<RetryPacer> {
        match callee {
            Callee::Store => &self.store,
            Callee::Peers => &self.peers,
        }
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Notes that a callee has answered.
    pub(crate) fn note_success(&self, callee: Callee) {
        let now = self.inner.clock.now();
        lock(self.inner.caller_retries.pacer(callee)).record_success(now);
    }

    /// Waits until a call may be repeated, for `delay` at least. Returns `false` at once if
    /// that is not before `deadline`.
    pub(crate) async fn wait_to_retry(
        &self,
        callee: Callee,
        delay: Duration,
        deadline: Instant,
    ) -> bool {
        let now = self.inner.clock.now();
        let pacer = self.inner.caller_retries.pacer(callee);
        let retry_at = lock(pacer).next_retry(delay, deadline, now);
        let Some(retry_at) = retry_at else { return false };
        tokio::time::sleep(retry_at.saturating_duration_since(now)).await;
        true
    }

    /// Reads a key. Retries until the store answers or `deadline` has passed.
    pub(crate) async fn read_with_retry(
        &self,
        key: &Key,
        deadline: Instant,
    ) -> Result<Option<Entry>, Error> {
        loop {
            match self.store().get(key).await {
                Ok(entry) => {
                    self.note_success(Callee::Store);
                    return Ok(entry);
                }
                Err(error) => {
                    if !self.wait_to_retry(Callee::Store, READ_RETRY_DELAY, deadline).await {
                        return Err(error);
                    }
                }
            }
        }
    }
}
