//! Which pool each machine serves.

use vg_base::prelude::*;

use crate::Flow;

/// What is known of the pools' demand.
#[derive(Debug, Default)]
pub(crate) struct Resize {}

impl Flow {
    pub(crate) fn wants_resize(&self) -> bool {
        false
    }

    pub(crate) fn resize(&mut self, _now: Instant, _wall: SystemTime) {}

    pub(crate) fn moved(&mut self, _machine: &SmolStr, _pool: &PoolId, _now: Instant) {}
}
