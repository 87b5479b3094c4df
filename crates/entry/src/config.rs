//! The operators' two lists (plans and uses) that are in force on this node.

use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use derive_more::From;
use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::stored::StoredError;
use vg_conf::{Lists, StoredLists};

/// The lists in force with their revision.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The revision, or zero before any lists were received.
    pub revision: Revision,
    /// The lists.
    pub lists: Lists,
}

/// Why lists were not put in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, From)]
#[snafu(display("{source}"))]
pub struct ConfigError {
    /// What is wrong with the value.
    source: StoredError,
}

/// Result of offering lists that came from the store or from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The lists are newer and are in force now.
    Applied,
    /// These lists were already in force.
    AlreadyApplied,
}

/// The value in force together with its encoded bytes.
#[derive(Debug)]
struct Accepted {
    stored: StoredLists,
    bytes: Vec<u8>,
}

/// Holds the lists in force. Their revision never goes back.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: RwLock<Arc<ActiveConfig>>,
    accepted: Mutex<Option<Accepted>>,
    rejected: Mutex<Vec<u8>>,
}

impl ConfigTable {
    /// Returns the lists in force.
    pub fn current(&self) -> Arc<ActiveConfig> {
        let current = self.current.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        Arc::clone(&current)
    }

    /// Returns the value in force, for a peer that starts while the store is unavailable.
    pub fn stored(&self) -> Option<StoredLists> {
        self.lock().as_ref().map(|accepted| accepted.stored.clone())
    }

    /// Checks an encoded value and puts its lists in force if they are newer.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for a value that is malformed, fails the checks or has an older
    /// revision. The lists in force stay as they are.
    pub fn offer(&self, bytes: &[u8]) -> Result<OfferOutcome, ConfigError> {
        let mut accepted = self.lock();
        // Every confirmation repeats the value in force, which has already been checked.
        if accepted.as_ref().is_some_and(|known| known.bytes == bytes) {
            return Ok(OfferOutcome::AlreadyApplied);
        }
        let known = accepted.as_ref().map(|accepted| &accepted.stored);
        let (stored, lists) = StoredLists::decode(bytes, known)?;
        if known.is_some_and(|known| known.revision == stored.revision) {
            return Ok(OfferOutcome::AlreadyApplied);
        }
        let current = Arc::new(ActiveConfig { revision: stored.revision, lists });
        // Both values change while `accepted` is locked, so that a reader of one does not
        // find an older version of the other.
        *self.current.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = current;
        *accepted = Some(Accepted { stored, bytes: bytes.to_vec() });
        Ok(OfferOutcome::Applied)
    }

    /// Remembers a rejected value. Returns whether it differs from the last rejected one.
    pub(crate) fn note_rejected(&self, bytes: &[u8]) -> bool {
        let mut rejected = self.rejected.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let new = *rejected != bytes;
        if new {
            *rejected = bytes.to_vec();
        }
        new
    }

    fn lock(&self) -> MutexGuard<'_, Option<Accepted>> {
        self.accepted.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
