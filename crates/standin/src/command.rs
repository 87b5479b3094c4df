//! The command line of the program `verbenagap-standin`.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_base::prelude::*;

/// Settings of a [`Site`](crate::Site), which runs all stand-ins in one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteSettings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Pools for each of which hosts are started. If empty, the hosts belong to no pool.
    pub pools: Vec<PoolId>,
    /// Number of endpoints in each pool.
    pub endpoints: u16,
    /// Number of workers in each pool.
    pub workers: u16,
    /// Number of availability zones that the hosts are spread over.
    pub zones: u16,
    /// Delay after which a change appears in the host list.
    pub lag: Duration,
    /// Run time of a request that does not specify one.
    pub service_time: Duration,
}

impl Default for SiteSettings {
    fn default() -> SiteSettings {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        SiteSettings {
            store: free_port,
            hosts: free_port,
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
        let defaults = SiteSettings::default();
        let addr = |name| matches.get_one::<SocketAddr>(name).copied();
        let number = |name| matches.get_one::<u16>(name).copied();
        let millis = |name| matches.get_one::<u64>(name).copied().map(Duration::from_millis);
        SiteSettings {
            store: addr("store").unwrap_or(defaults.store),
            hosts: addr("hosts").unwrap_or(defaults.hosts),
            pools: matches
                .get_many("pools")
                .map(|pools| pools.cloned().collect())
                .unwrap_or_default(),
            endpoints: number("endpoints").unwrap_or(defaults.endpoints),
            workers: number("workers").unwrap_or(defaults.workers),
            zones: number("zones").unwrap_or(defaults.zones).max(1),
            lag: millis("lag-ms").unwrap_or(defaults.lag),
            service_time: millis("service-ms").unwrap_or(defaults.service_time),
        }
    }
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("verbenagap-standin")
        .about("Stand-ins of the platform on loopback: store, host list, endpoints and workers")
        .arg(addr_arg("store", "127.0.0.1:2379", "Address of the store"))
        .arg(addr_arg("hosts", "127.0.0.1:2380", "Address of the host list"))
        .arg(pools_arg())
        .arg(number_arg("endpoints", "4", "Number of endpoints in each pool"))
        .arg(number_arg("workers", "4", "Number of workers in each pool"))
        .arg(number_arg("zones", "3", "Number of availability zones"))
        .arg(millis_arg("lag-ms", "1000", "Delay after which a change appears in the host list"))
        .arg(millis_arg("service-ms", "20", "Run time of a request that does not specify one"))
}

fn addr_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    default_arg(name, value, help).value_name("IP:PORT").value_parser(value_parser!(SocketAddr))
}

fn pools_arg() -> Arg {
    Arg::new("pools")
        .long("pools")
        .value_name("POOL,…")
        .value_delimiter(',')
        .value_parser(value_parser!(PoolId))
        .help("Pools to start hosts for; if omitted, the hosts belong to no pool")
}

fn number_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    default_arg(name, value, help).value_name("N").value_parser(value_parser!(u16))
}

fn millis_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    default_arg(name, value, help).value_name("MS").value_parser(value_parser!(u64))
}

fn default_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(value).help(help)
}
