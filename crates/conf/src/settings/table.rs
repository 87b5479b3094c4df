//! The table of settings.

use std::net::SocketAddr;

use vg_base::prelude::*;

use crate::settings::{LogFormat, LogLevel, RawSettings, Setting, SettingsError, check, kinds};

macro_rules! settings {
    ($(
        $(#[doc = $doc:literal])+
        $field:ident: $type:ty = $name:literal in [$section:literal] $key:literal,
        $default:expr, $kind:expr;
    )+) => {
        /// Checked settings of one process.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct Settings {
            $($(#[doc = $doc])+ pub $field: $type,)+
        }

        /// All settings in the order of the operators' page.
        pub const TABLE: &[Setting] = &[$(Setting {
            name: $name,
            section: $section,
            key: $key,
            default: $default,
            accepted: $kind.accepted,
            help: &[$($doc),+],
        },)+];

        impl Settings {
            /// Checks collected texts as a whole.
            ///
            /// # Errors
            ///
            /// [`SettingsError::Invalid`] with all that is wrong.
            pub fn from_raw(mut raw: RawSettings) -> Result<Settings, SettingsError> {
                $(let $field = raw.parse($name, &$kind);)+
                let settings = match ($($field,)+) {
                    ($(Some($field),)+) => Some(Settings { $($field,)+ }),
                    _ => None,
                };
                if let Some(settings) = &settings {
                    check::check(settings, &mut raw);
                }
                raw.finish(settings)
            }
        }
    };
}

settings! {
    /// Name of this entry host, unlike that of any other.
    node: NodeId = "node" in ["node"] "name", None, kinds::NODE;
    /// Availability zone that this entry host stands in.
    zone: ZoneId = "zone" in ["node"] "zone", None, kinds::ZONE;
    /// Region that the availability zone belongs to.
    region: RegionId = "region" in ["node"] "region", Some("main"), kinds::REGION;
    /// Address for callers, operators, metrics and the balancer's check.
    listen: SocketAddr = "listen" in ["listen"] "callers", None, kinds::ADDR;
    /// Address for the other entry hosts. They reach this one by it, so it
    /// names the host's own number.
    peer_listen: SocketAddr = "peer-listen" in ["listen"] "peers", None, kinds::OWN_ADDR;
    /// Addresses of the platform's key-value service, tried in turn.
    store: Vec<SocketAddr> = "store" in ["platform"] "store", None, kinds::ADDRS;
    /// Address of the platform's list of live and leaving hosts, endpoints
    /// and workers alike.
    host_list: SocketAddr = "host-list" in ["platform"] "host-list", None, kinds::ADDR;
    /// Time between two heartbeats to each other entry host.
    heartbeat_interval: Duration = "heartbeat" in ["times"] "heartbeat", Some("1s"), kinds::DURATION;
    /// Time after which a silent entry host counts as lost and its rights
    /// may pass to others. At least three heartbeats.
    lease_ttl: Duration = "lease" in ["times"] "lease", Some("3s"), kinds::LEASE;
    /// Longest time that a planned stop waits for running work.
    drain_timeout: Duration = "drain" in ["times"] "drain", Some("40s"), kinds::DURATION;
    /// Largest accepted body of a call or job, in bytes.
    body_bytes: usize = "body-bytes" in ["limits"] "body-bytes", Some("1048576"), kinds::BODY;
    /// Most bytes of a request's line and headers.
    header_bytes: usize =
        "header-bytes" in ["limits"] "header-bytes", Some("16384"), kinds::HEADER;
    /// Most connections of callers at once.
    max_connections: usize = "connections" in ["limits"] "connections", Some("4096"), kinds::COUNT;
    /// Time after which an unused connection is closed.
    idle_timeout: Duration = "idle" in ["limits"] "idle", Some("60s"), kinds::DURATION;
    /// Least level that is logged.
    log_level: LogLevel = "log-level" in ["log"] "level", Some("info"), kinds::LEVEL;
    /// Form of the log's lines.
    log_format: LogFormat = "log-format" in ["log"] "format", Some("text"), kinds::FORMAT;
    /// Events that are kept in memory for the time line.
    event_capacity: usize =
        "event-capacity" in ["events"] "capacity", Some("20000"), kinds::COUNT;
}
