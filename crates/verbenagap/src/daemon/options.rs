//! Derives the options of the node and the timing of membership from the settings.

use snafu::ResultExt;
use vg_conf::Settings;
use vg_entry::Options;
use vg_net::{Budget, Descriptors, Limits};
use vg_peer::Timing;

use super::DaemonError;
use super::error::TimingSnafu;

/// Heartbeat period to a peer in another region, as a multiple of the period to a peer
/// in the same region.
const FAR_PERIOD_FACTOR: u32 = 3;

/// Clients may hold this part of the memory in the settings.
const CLIENT_MEMORY_SHARE: usize = 4;
/// Number of descriptors that a process may open if the system does not tell.
const DEFAULT_DESCRIPTORS: Descriptors = Descriptors(1024);

/// Returns the options of the node.
pub fn options(settings: &Settings) -> Options {
    let descriptors = process_descriptors();
    let limits = |max_connections| Limits {
        max_connections,
        max_header_bytes: settings.header_bytes,
        idle_timeout: settings.idle_timeout,
        ..Limits::default()
    };
    Options {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        listen: settings.listen,
        peer_listen: settings.peer_listen,
        host_list: settings.host_list,
        max_body_bytes: settings.body_bytes,
        limits: limits(settings.max_connections.min(descriptors.callers())),
        peer_limits: limits(descriptors.peers()),
        budget: Budget::new(settings.memory_bytes / CLIENT_MEMORY_SHARE),
        lease_ttl: settings.lease_ttl,
        host_period: Options::HOST_PERIOD,
        drain_timeout: settings.drain_timeout,
        event_capacity: settings.event_capacity,
    }
}

/// Returns the number of descriptors that the system lets this process open.
fn process_descriptors() -> Descriptors {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    match line.and_then(|line| line.split_whitespace().next()) {
        Some("unlimited") => Descriptors(usize::MAX),
        Some(count) => count.parse().map_or(DEFAULT_DESCRIPTORS, Descriptors),
        None => DEFAULT_DESCRIPTORS,
    }
}

/// Returns the timing of membership, derived from the heartbeat period and the lease's
/// time to live.
///
/// The report TTL and the suspect timeout keep their defaults unless a longer heartbeat
/// period requires longer ones. The fence delay keeps its default unless the lease outlasts
/// that delay and the report TTL together.
///
/// # Errors
///
/// [`DaemonError::Timing`] if the durations contradict each other.
pub fn timing(settings: &Settings) -> Result<Timing, DaemonError> {
    let defaults = Timing::default();
    let near_period = settings.heartbeat_interval;
    let report_ttl = defaults.report_ttl.max(near_period.mul_f64(2.5));
    let timing = Timing {
        lease_ttl: settings.lease_ttl,
        clock_margin: settings.lease_ttl / 10,
        report_ttl,
        fence_delay: defaults.fence_delay.max(settings.lease_ttl.saturating_sub(report_ttl)),
        near_period,
        far_period: near_period * FAR_PERIOD_FACTOR,
        suspect_timeout: defaults.suspect_timeout.max(near_period.mul_f64(3.5)),
        ..defaults
    };
    timing.check().context(TimingSnafu)?;
    Ok(timing)
}
