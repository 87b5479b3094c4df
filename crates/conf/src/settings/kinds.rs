//! The kinds of values in the settings.

use std::net::SocketAddr;

use vg_base::prelude::*;

use crate::ini::{ValueParser, items, number, one_of, span, words};
use crate::settings::{LogFormat, LogLevel};

pub(crate) const NODE: ValueParser<NodeId> = ValueParser { accepted: "a name", parse: words };
pub(crate) const ZONE: ValueParser<ZoneId> =
    ValueParser { accepted: "the name of an availability zone", parse: words };
pub(crate) const REGION: ValueParser<RegionId> =
    ValueParser { accepted: "the name of a region", parse: words };
pub(crate) const ADDR: ValueParser<SocketAddr> =
    ValueParser { accepted: "an IP number and port such as 10.0.0.5:7400", parse: words };
pub(crate) const OWN_ADDR: ValueParser<SocketAddr> =
    ValueParser { accepted: "an IP number of this host and a port, not 0.0.0.0", parse: own_addr };
pub(crate) const ADDRS: ValueParser<Vec<SocketAddr>> =
    ValueParser { accepted: "IP numbers with ports, separated by commas", parse: some_addrs };
pub(crate) const DURATION: ValueParser<Duration> =
    ValueParser { accepted: "a time of at least 1ms such as 500ms, 5s or 2m", parse: span };
pub(crate) const LEASE: ValueParser<Duration> =
    ValueParser { accepted: "a time of at least three heartbeats", parse: span };
pub(crate) const BODY: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 1 to 67108864",
    parse: |text| number(text, 1..=64 * 1024 * 1024),
};
pub(crate) const HEADER: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 8192 to 1048576",
    parse: |text| number(text, 8192..=1024 * 1024),
};
pub(crate) const COUNT: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| number(text, 1..=1_000_000),
};
pub(crate) const LEVEL: ValueParser<LogLevel> = ValueParser {
    accepted: "error, warn, info or debug",
    parse: |text| {
        one_of(
            text,
            &[
                ("error", LogLevel::Error),
                ("warn", LogLevel::Warn),
                ("info", LogLevel::Info),
                ("debug", LogLevel::Debug),
            ],
        )
    },
};
pub(crate) const FORMAT: ValueParser<LogFormat> = ValueParser {
    accepted: "text or json",
    parse: |text| one_of(text, &[("text", LogFormat::Text), ("json", LogFormat::Json)]),
};

fn own_addr(text: &str) -> Result<SocketAddr, String> {
    let addr: SocketAddr = words(text)?;
    if addr.ip().is_unspecified() {
        return Err(format!("`{addr}` names no host that others could reach"));
    }
    Ok(addr)
}

fn some_addrs(text: &str) -> Result<Vec<SocketAddr>, String> {
    let addrs = items(text)?;
    if addrs.is_empty() { Err("no address is given".to_owned()) } else { Ok(addrs) }
}
