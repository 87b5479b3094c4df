//! Checks that concern several settings.

use crate::duration;
use crate::settings::{RawSettings, Settings};

/// Heartbeats that may be lost in a row before an entry host counts as lost.
const HEARTBEATS_A_LEASE: u32 = 3;

/// Records what is wrong between settings that are each right alone.
pub(crate) fn check(settings: &Settings, raw: &mut RawSettings) {
    let least = settings.heartbeat_interval.saturating_mul(HEARTBEATS_A_LEASE);
    if settings.lease_ttl < least {
        let problem = format!("the lease is shorter than {} heartbeats", HEARTBEATS_A_LEASE);
        raw.fault("lease", problem, format!("at least {}", duration::format(least)));
    }
    if settings.listen == settings.peer_listen && settings.listen.port() != 0 {
        let problem = format!("callers and peers can't both use {}", settings.listen);
        raw.fault("peer-listen", problem, "another port");
    }
}
