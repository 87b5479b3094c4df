//! Encoding of the cluster state for the store.

use crate::{ClusterState, ClusterStateError};

/// Format number, which is the first byte of the value. MessagePack follows.
const FORMAT: u8 = 1;

impl ClusterState {
    /// Encodes the cluster state as a value for the store.
    ///
    /// # Errors
    ///
    /// [`ClusterStateError::Malformed`] if the cluster state can't be represented.
    pub fn encode(&self) -> Result<Vec<u8>, ClusterStateError> {
        let mut bytes = vec![FORMAT];
        let body = rmp_serde::to_vec(self);
        bytes.extend(body.map_err(|e| ClusterStateError::Malformed { reason: e.to_string() })?);
        Ok(bytes)
    }

    /// Decodes a value from the store.
    ///
    /// # Errors
    ///
    /// [`ClusterStateError::Newer`] if a newer version of the program wrote the value;
    /// the value must then not be overwritten. [`ClusterStateError::Malformed`] if the value
    /// is not a cluster state.
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
