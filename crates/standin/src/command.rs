//! Command line of the program `verbenagap-standin`.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_base::prelude::*;

/// Settings of a whole site of stand-ins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteSettings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Pools that the hosts are set up for.
    pub pools: Vec<PoolId>,
    /// Number of endpoints of each pool.
    pub endpoints: u16,
    /// Number of workers of each pool.
    pub workers: u16,
    /// Number of availability zones that the hosts are spread over.
    pub zones: u16,
    /// How late the host list shows changes.
    pub lag: Duration,
    /// How long a request runs that does not say so itself.
    pub service_time: Duration,
}

impl Default for SiteSettings {
    fn default() -> SiteSettings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        SiteSettings {
            store: any,
            hosts: any,
            pools: Vec::new(),
            endpoints: 4,
            workers: 4,
            zones: 3,
            lag: Duration::from_secs(1),
            service_time: Duration::from_millis(20),
        }
    }
}

impl From<&ArgMatches> for SiteSettings {
    fn from(matches: &ArgMatches) -> SiteSettings {
        let usual = SiteSettings::default();
        let addr = |name| matches.get_one::<SocketAddr>(name).copied();
        let number = |name| matches.get_one::<u16>(name).copied();
        let time = |name| matches.get_one::<u64>(name).copied().map(Duration::from_millis);
        SiteSettings {
            store: addr("store").unwrap_or(usual.store),
            hosts: addr("hosts").unwrap_or(usual.hosts),
            pools: matches
                .get_many("pools")
                .map(|pools| pools.cloned().collect())
                .unwrap_or_default(),
            endpoints: number("endpoints").unwrap_or(usual.endpoints),
            workers: number("workers").unwrap_or(usual.workers),
            zones: number("zones").unwrap_or(usual.zones).max(1),
            lag: time("lag-ms").unwrap_or(usual.lag),
            service_time: time("service-ms").unwrap_or(usual.service_time),
        }
    }
}

/// Returns the command line.
pub fn command() -> Command {
    Command::new("verbenagap-standin")
        .about("Stand-ins of the platform on loopback: store, host list, endpoints and workers")
        .arg(addr("store", "127.0.0.1:2379", "Address of the store"))
        .arg(addr("hosts", "127.0.0.1:2380", "Address of the host list"))
        .arg(pools())
        .arg(number("endpoints", "4", "Number of endpoints of each pool"))
        .arg(number("workers", "4", "Number of workers of each pool"))
        .arg(number("zones", "3", "Number of availability zones"))
        .arg(time("lag-ms", "1000", "How late the host list shows changes"))
        .arg(time("service-ms", "20", "How long a request runs that does not say so itself"))
}

fn addr(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    arg(name, value, help).value_name("IP:PORT").value_parser(value_parser!(SocketAddr))
}

fn pools() -> Arg {
    Arg::new("pools")
        .long("pools")
        .value_name("POOL,…")
        .value_delimiter(',')
        .value_parser(value_parser!(PoolId))
        .help("Pools that the hosts are set up for; without it they belong to none")
}

fn number(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    arg(name, value, help).value_name("N").value_parser(value_parser!(u16))
}

fn time(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    arg(name, value, help).value_name("MS").value_parser(value_parser!(u64))
}

fn arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(value).help(help)
}
