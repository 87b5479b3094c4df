//! From the settings of the process to those of the node.

use snafu::ResultExt;
use vg_conf::Settings;
use vg_entry::Options;
use vg_net::Limits;
use vg_peer::Timing;

use super::DaemonError;
use super::error::TimesSnafu;

/// Heartbeats to a peer in another region, in periods of near ones.
const FAR_PERIODS: u32 = 3;

/// Returns the node's options.
pub fn options(settings: &Settings) -> Options {
    Options {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        listen: settings.listen,
        peer_listen: settings.peer_listen,
        host_list: settings.host_list,
        max_body_bytes: settings.body_bytes,
        limits: Limits {
            max_connections: settings.max_connections,
            max_header_bytes: settings.header_bytes,
            idle_timeout: settings.idle_timeout,
            ..Limits::default()
        },
        lease_ttl: settings.lease_ttl,
        host_period: Options::HOST_PERIOD,
        drain_timeout: settings.drain_timeout,
        event_capacity: settings.event_capacity,
    }
}

/// Returns the times of membership, derived from heartbeat and lease.
///
/// # Errors
///
/// [`DaemonError::Times`] if they don't fit together.
pub fn timing(settings: &Settings) -> Result<Timing, DaemonError> {
    let usual = Timing::default();
    let near_period = settings.heartbeat_interval;
    let grace = usual.report_ttl.max(near_period.mul_f64(2.5));
    let timing = Timing {
        lease_ttl: settings.lease_ttl,
        clock_margin: settings.lease_ttl / 10,
        report_ttl: grace,
        fence_delay: usual.fence_delay.max(settings.lease_ttl.saturating_sub(grace)),
        near_period,
        far_period: near_period * FAR_PERIODS,
        suspect_timeout: usual.suspect_timeout.max(near_period.mul_f64(3.5)),
        ..usual
    };
    timing.check().context(TimesSnafu)?;
    Ok(timing)
}
