//! Checks that concern more than one setting.

use crate::duration;
use crate::settings::{RawSettings, Settings};

/// Shortest lease in heartbeat intervals: an entry host counts as lost only after
/// this many heartbeats in a row were lost.
const MIN_LEASE_HEARTBEATS: u32 = 3;

/// Least memory in largest bodies: one request may take half of the quarter for clients.
const MIN_MEMORY_BODIES: usize = 8;

/// Records a diagnostic for settings that are valid alone but not together.
pub(crate) fn check(settings: &Settings, raw: &mut RawSettings) {
    let min_lease = settings.heartbeat_interval.saturating_mul(MIN_LEASE_HEARTBEATS);
    if settings.lease_ttl < min_lease {
        let problem = format!("the lease is shorter than {} heartbeats", MIN_LEASE_HEARTBEATS);
        raw.report("lease", problem, format!("at least {}", duration::format(min_lease)));
    }
    let min_memory = settings.body_bytes.saturating_mul(MIN_MEMORY_BODIES);
    if settings.memory_bytes < min_memory {
        let problem = format!("the memory is less than {MIN_MEMORY_BODIES} times the largest body");
        raw.report("memory-bytes", problem, format!("at least {min_memory}"));
    }
    if settings.listen == settings.peer_listen && settings.listen.port() != 0 {
        let problem = format!("callers and peers can't both use {}", settings.listen);
        raw.report("peer-listen", problem, "another port");
    }
}
