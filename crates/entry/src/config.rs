//! The two lists in force on this node.

use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use derive_more::From;
use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::stored::StoredError;
use vg_conf::{Lists, StoredLists};

/// Lists with their revision.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The revision; zero before any lists came.
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

/// What became of lists that came from the store or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// They are in force now.
    Applied,
    /// They were in force already.
    AlreadyApplied,
}

/// The value in force, and its bytes as they came.
#[derive(Debug)]
struct Accepted {
    stored: StoredLists,
    bytes: Vec<u8>,
}

/// Holds the lists in force. Revisions only go forward.
#[derive(Debug, Default)]
pub struct ConfigTable {
    current: RwLock<Arc<ActiveConfig>>,
    accepted: Mutex<Option<Accepted>>,
    refused: Mutex<Vec<u8>>,
}

impl ConfigTable {
    /// Returns the lists in force.
    pub fn current(&self) -> Arc<ActiveConfig> {
        let current = self.current.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        Arc::clone(&current)
    }

    /// Returns the value in force, to hand it to a peer that starts while the
    /// store is out.
    pub fn stored(&self) -> Option<StoredLists> {
        self.lock().as_ref().map(|accepted| accepted.stored.clone())
    }

    /// Checks a value and puts it in force if it is newer.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for a value that is malformed, does not pass the checks
    /// or goes back; the lists in force stay.
    pub fn offer(&self, bytes: &[u8]) -> Result<OfferOutcome, ConfigError> {
        let mut accepted = self.lock();
        // The same value comes with each confirmation; it was checked before.
        if accepted.as_ref().is_some_and(|known| known.bytes == bytes) {
            return Ok(OfferOutcome::AlreadyApplied);
        }
        let known = accepted.as_ref().map(|accepted| &accepted.stored);
        let (stored, lists) = StoredLists::decode(bytes, known)?;
        if known.is_some_and(|known| known.revision == stored.revision) {
            return Ok(OfferOutcome::AlreadyApplied);
        }
        let current = Arc::new(ActiveConfig { revision: stored.revision, lists });
        // Both change under the lock of `accepted`, so that no reader of the
        // one sees an older other.
        *self.current.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = current;
        *accepted = Some(Accepted { stored, bytes: bytes.to_vec() });
        Ok(OfferOutcome::Applied)
    }

    /// Remembers a refused value; returns whether it is another than the last.
    pub(crate) fn note_refused(&self, bytes: &[u8]) -> bool {
        let mut refused = self.refused.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let new = *refused != bytes;
        if new {
            *refused = bytes.to_vec();
        }
        new
    }

    fn lock(&self) -> MutexGuard<'_, Option<Accepted>> {
        self.accepted.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
