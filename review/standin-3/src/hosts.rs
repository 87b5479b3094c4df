//! The project's own program, as host processes.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/verbenagap-platform";
const PORTS: [u16; 4] = [8340, 8343, 8345, 7001];

/// What all hosts of a deployment have in common.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The platform's store.
    pub store: SocketAddr,
    /// The adviser, if there is one.
    pub adviser: Option<SocketAddr>,
    /// The bounds of the deployment.
    pub bounds: Value,
}

/// A host process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    ip: IpAddr,
    child: Child,
}

/// Returns loopback addresses on which the ports of the hosts are free.
pub fn free_addresses(count: u8) -> std::io::Result<Vec<IpAddr>> {
    let first = std::process::id();
    for attempt in 0..50_u32 {
        let number = first.wrapping_add(attempt.wrapping_mul(7919));
        let net = [(100 + number / 250 % 100) as u8, (number % 250) as u8];
        let all: Vec<_> = (0..count)
            .map(|at| IpAddr::from(Ipv4Addr::new(127, net[0], net[1], 10 + at)))
            .collect();
        let is_free =
            |ip: &IpAddr| PORTS.iter().all(|&port| TcpListener::bind((*ip, port)).is_ok());
        if all.iter().all(is_free) {
            return Ok(all);
        }
    }
    Err(std::io::Error::other("no loopback address is free"))
}

impl Host {
    /// Starts a host whose files are in `dir`.
    pub fn start(at: usize, ip: IpAddr, platform: &Platform, dir: &Path) -> std::io::Result<Host> {
        let name = format!("host-{}", (b'a' + at as u8) as char);
        let local = |port: u16| SocketAddr::new(ip, port).to_string();
        let file = json!({
            "node": name, "role": "host", "class": "front", "serves": ["front", "control"],
            "ip": ip.to_string(), "zone": format!("z-{at}"), "region": "r",
            "listen": {"front": local(PORTS[0]), "ready": local(PORTS[1]), "control": local(PORTS[2])},
            "port-range": [7000, 7015], "bootstrap": true, "data-dir": null,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "discovery": "platform", "heartbeat-ms": 1500, "bounds": platform.bounds,
            "orders": "call", "advice": platform.adviser.map(|addr| addr.to_string()),
            "platform": {"addr": platform.store.to_string(), "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "min-ttl-ms": 1000},
        });
        let settings = dir.join(format!("{name}.json"));
        std::fs::write(&settings, file.to_string())?;
        let log = dir.join(format!("{name}.log"));
        let child = launch(&settings, &log)?;
        Ok(Host { name, ip, child })
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[0])
    }

    /// Kills the process.
    fn kill(&mut self) {
        // Both fail only if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn launch(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log: File = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env("VERBENAGAP_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
