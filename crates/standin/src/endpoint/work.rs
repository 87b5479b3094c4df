//! What a request's body says about its run.

use serde::Deserialize;
use vg_base::prelude::*;

/// Fields of a JSON body that an endpoint heeds; all others are passed over.
///
/// Entry hosts pass bodies on as they are, but only few header fields, so
/// callers steer a run through the body.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct Work {
    /// How long the request shall run.
    pub(crate) run_ms: Option<u64>,
    /// The caller's own id of the work.
    pub(crate) id: Option<SmolStr>,
}

impl Work {
    /// Reads a body; one that says nothing is as good as an empty one.
    pub(crate) fn read(body: &[u8]) -> Work {
        serde_json::from_slice(body).unwrap_or_default()
    }
}
