//! Parsers of the values of the settings.

use std::net::SocketAddr;

use vg_base::prelude::*;

use crate::ini::{
    ValueParser, parse_duration, parse_from_str, parse_items, parse_keyword, parse_number,
};
use crate::settings::{LogFormat, LogLevel};

pub(crate) const NODE: ValueParser<NodeId> =
    ValueParser { accepted: "a name", parse: parse_from_str };
pub(crate) const ZONE: ValueParser<ZoneId> =
    ValueParser { accepted: "the name of an availability zone", parse: parse_from_str };
pub(crate) const REGION: ValueParser<RegionId> =
    ValueParser { accepted: "the name of a region", parse: parse_from_str };
pub(crate) const ADDR: ValueParser<SocketAddr> =
    ValueParser { accepted: "an IP address and port such as 10.0.0.5:7400", parse: parse_from_str };
pub(crate) const OWN_ADDR: ValueParser<SocketAddr> = ValueParser {
    accepted: "an IP address of this host and a port, not 0.0.0.0",
    parse: parse_own_addr,
};
pub(crate) const ADDRS: ValueParser<Vec<SocketAddr>> =
    ValueParser { accepted: "IP addresses with ports, separated by commas", parse: parse_addrs };
pub(crate) const DURATION: ValueParser<Duration> = ValueParser {
    accepted: "a duration of at least 1ms such as 500ms, 5s or 2m",
    parse: parse_duration,
};
pub(crate) const LEASE: ValueParser<Duration> = ValueParser {
    accepted: "a duration of at least three heartbeat intervals",
    parse: parse_duration,
};
pub(crate) const BODY: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 1 to 67108864",
    parse: |text| parse_number(text, 1..=64 * 1024 * 1024),
};
pub(crate) const HEADER: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 8192 to 1048576",
    parse: |text| parse_number(text, 8192..=1024 * 1024),
};
pub(crate) const MEMORY: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 16777216 to 1099511627776",
    parse: |text| parse_number(text, 16 * 1024 * 1024..=1024 * 1024 * 1024 * 1024),
};
pub(crate) const COUNT: ValueParser<usize> = ValueParser {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| parse_number(text, 1..=1_000_000),
};
pub(crate) const LEVEL: ValueParser<LogLevel> = ValueParser {
    accepted: "error, warn, info or debug",
    parse: |text| {
        parse_keyword(
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
    parse: |text| parse_keyword(text, &[("text", LogFormat::Text), ("json", LogFormat::Json)]),
};

fn parse_own_addr(text: &str) -> Result<SocketAddr, String> {
    let addr: SocketAddr = parse_from_str(text)?;
    if addr.ip().is_unspecified() {
        return Err(format!("`{addr}` is not an address that other entry hosts can reach"));
    }
    Ok(addr)
}

fn parse_addrs(text: &str) -> Result<Vec<SocketAddr>, String> {
    let addrs = parse_items(text)?;
    if addrs.is_empty() { Err("no address is given".to_owned()) } else { Ok(addrs) }
}
