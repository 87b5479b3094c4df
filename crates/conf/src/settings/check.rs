//! Checks that concern several settings.

use crate::settings::{Raw, Settings};
use crate::span;

/// Heartbeats that may be lost in a row before an entry host counts as lost.
const HEARTBEATS_A_LEASE: u32 = 3;

/// Records what is wrong between settings that are each right alone.
pub(crate) fn check(settings: &Settings, raw: &mut Raw) {
    let least = settings.heartbeat.saturating_mul(HEARTBEATS_A_LEASE);
    if settings.lease < least {
        let wrong = format!("the lease is shorter than {} heartbeats", HEARTBEATS_A_LEASE);
        raw.fault("lease", wrong, format!("at least {}", span::format(least)));
    }
    if settings.listen == settings.peer_listen && settings.listen.port() != 0 {
        let wrong = format!("callers and peers can't both use {}", settings.listen);
        raw.fault("peer-listen", wrong, "another port");
    }
}
