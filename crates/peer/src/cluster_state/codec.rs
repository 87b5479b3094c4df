//! The book as bytes.

use crate::{ClusterState, ClusterStateError};

/// First byte of the value: the format. MessagePack follows.
const FORMAT: u8 = 1;

impl ClusterState {
    /// Returns the value for the store.
    ///
    /// # Errors
    ///
    /// [`ClusterStateError::Malformed`] if it can't be represented.
    pub fn encode(&self) -> Result<Vec<u8>, ClusterStateError> {
        let mut bytes = vec![FORMAT];
        let body = rmp_serde::to_vec(self);
        bytes.extend(body.map_err(|e| ClusterStateError::Malformed { reason: e.to_string() })?);
        Ok(bytes)
    }

    /// Reads the value from the store.
    ///
    /// # Errors
    ///
    /// [`ClusterStateError::Newer`] if a newer program wrote it; it must then be left
    /// as it is. [`ClusterStateError::Malformed`] if it is something else.
    pub fn decode(bytes: &[u8]) -> Result<ClusterState, ClusterStateError> {
        let (&format, body) = bytes
            .split_first()
            .ok_or_else(|| ClusterStateError::Malformed { reason: "it is empty".to_owned() })?;
        if format > FORMAT {
            return Err(ClusterStateError::Newer { found: format, known: FORMAT });
        }
        rmp_serde::from_slice(body)
            .map_err(|e| ClusterStateError::Malformed { reason: e.to_string() })
    }
}
