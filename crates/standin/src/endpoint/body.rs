//! Fields of a request's body that control its run.

use serde::Deserialize;
use vg_base::prelude::*;

/// Fields of a JSON body that an endpoint reads. Other fields are ignored.
///
/// Entry hosts forward bodies unchanged but forward only a few header fields, so
/// callers control a run through the body.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct BodyFields {
    /// Requested run time, in milliseconds.
    pub(crate) run_ms: Option<u64>,
    /// The caller's own id of the work.
    pub(crate) id: Option<SmolStr>,
}

impl BodyFields {
    /// Parses a body. A body that is not a JSON object with valid fields is treated
    /// as one without fields.
    pub(crate) fn parse(body: &[u8]) -> BodyFields {
        serde_json::from_slice(body).unwrap_or_default()
    }
}
