//! The table of all settings, from which [`Settings`] is generated.

use std::net::SocketAddr;

use vg_base::prelude::*;

use crate::settings::{LogFormat, LogLevel, RawSettings, Setting, SettingsError, check, parsers};

macro_rules! settings {
    ($(
        $(#[doc = $doc:literal])+
        $field:ident: $type:ty = $name:literal in [$section:literal] $key:literal,
        $default:expr, $parser:expr;
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
            accepted: $parser.accepted,
            help: &[$($doc),+],
        },)+];

        impl Settings {
            /// Parses the collected values and checks them as a whole.
            ///
            /// # Errors
            ///
            /// Returns [`SettingsError::Invalid`] with all diagnostics.
            pub fn from_raw(mut raw: RawSettings) -> Result<Settings, SettingsError> {
                $(let $field = raw.parse($name, &$parser);)+
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
    /// Name of this entry host, different from every other one.
    node: NodeId = "node" in ["node"] "name", None, parsers::NODE;
    /// Availability zone that this entry host is in.
    zone: ZoneId = "zone" in ["node"] "zone", None, parsers::ZONE;
    /// Region that the availability zone belongs to.
    region: RegionId = "region" in ["node"] "region", Some("main"), parsers::REGION;
    /// Address for callers, operators, metrics and the health check of the balancer.
    listen: SocketAddr = "listen" in ["listen"] "callers", None, parsers::ADDR;
    /// Address for the other entry hosts. They connect to it, so it has an IP
    /// address of this host.
    peer_listen: SocketAddr = "peer-listen" in ["listen"] "peers", None, parsers::OWN_ADDR;
    /// Addresses of the platform's key-value service, tried in this order.
    store: Vec<SocketAddr> = "store" in ["platform"] "store", None, parsers::ADDRS;
    /// Address of the platform's list of live and leaving hosts, both endpoints
    /// and workers.
    host_list: SocketAddr = "host-list" in ["platform"] "host-list", None, parsers::ADDR;
    /// Time between two heartbeats to each other entry host.
    heartbeat_interval: Duration = "heartbeat" in ["times"] "heartbeat", Some("1s"), parsers::DURATION;
    /// Time without heartbeats after which an entry host counts as lost and its
    /// permits and pools may pass to others. At least three heartbeat intervals.
    lease_ttl: Duration = "lease" in ["times"] "lease", Some("3s"), parsers::LEASE;
    /// Time limit for a planned stop to wait for running work.
    drain_timeout: Duration = "drain" in ["times"] "drain", Some("40s"), parsers::DURATION;
    /// Largest accepted body of a call or job, in bytes.
    body_bytes: usize = "body-bytes" in ["limits"] "body-bytes", Some("1048576"), parsers::BODY;
    /// Largest accepted request line with headers, in bytes.
    header_bytes: usize =
        "header-bytes" in ["limits"] "header-bytes", Some("16384"), parsers::HEADER;
    /// Memory of this entry host for the process, in bytes, at least eight times the
    /// largest body. A quarter is for connections, unfinished requests and unread answers.
    memory_bytes: usize =
        "memory-bytes" in ["limits"] "memory-bytes", Some("268435456"), parsers::MEMORY;
    /// Number of connections that callers may have open at once; at most half of the
    /// descriptors that the process may open, less 200.
    max_connections: usize = "connections" in ["limits"] "connections", Some("4096"), parsers::COUNT;
    /// Time after which an idle connection is closed.
    idle_timeout: Duration = "idle" in ["limits"] "idle", Some("60s"), parsers::DURATION;
    /// Least severe level that is logged.
    log_level: LogLevel = "log-level" in ["log"] "level", Some("info"), parsers::LEVEL;
    /// Format of the log lines.
    log_format: LogFormat = "log-format" in ["log"] "format", Some("text"), parsers::FORMAT;
    /// Number of events that are kept in memory for the timeline.
    event_capacity: usize =
        "event-capacity" in ["events"] "capacity", Some("20000"), parsers::COUNT;
}
