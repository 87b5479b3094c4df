//! The book as bytes.

use crate::{Book, BookError};

/// First byte of the value: the format. MessagePack follows.
const FORMAT: u8 = 1;

impl Book {
    /// Returns the value for the store.
    ///
    /// # Errors
    ///
    /// [`BookError::Malformed`] if it can't be represented.
    pub fn encode(&self) -> Result<Vec<u8>, BookError> {
        let mut bytes = vec![FORMAT];
        let body = rmp_serde::to_vec(self);
        bytes.extend(body.map_err(|e| BookError::Malformed { reason: e.to_string() })?);
        Ok(bytes)
    }

    /// Reads the value from the store.
    ///
    /// # Errors
    ///
    /// [`BookError::Newer`] if a newer program wrote it; it must then be left
    /// as it is. [`BookError::Malformed`] if it is something else.
    pub fn decode(bytes: &[u8]) -> Result<Book, BookError> {
        let (&format, body) = bytes
            .split_first()
            .ok_or_else(|| BookError::Malformed { reason: "it is empty".to_owned() })?;
        if format > FORMAT {
            return Err(BookError::Newer { found: format, known: FORMAT });
        }
        rmp_serde::from_slice(body).map_err(|e| BookError::Malformed { reason: e.to_string() })
    }
}
