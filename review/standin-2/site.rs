//! A small deployment on loopback: three hosts, a store, workers, and the clients' calls.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::{Response, call};
use crate::record::Record;
use crate::store::Store;

pub const HOSTS: usize = 3;
const KEY: &str = "Token key-1";
/// Host name of all routes.
const NAME: &str = "desk.example";
/// Time that a client waits for an answer, as `X-Verbenagap-Deadline-Ms` says.
const DEADLINE: Duration = Duration::from_secs(3);

/// Why a case couldn't run.
pub type Failure = String;

/// A queue: name of the route, its prefix and its service.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
}

pub struct Net {
    net: [u8; 2],
    _mark: TcpListener,
}

impl Net {
    /// Takes a block of loopback addresses that nobody uses.
    pub fn claim() -> Result<Net, Failure> {
        let first = std::process::id();
        for number in (0..20).map(|each| first.wrapping_add(each * 7919)) {
            let net = [(100 + number / 250 % 100) as u8, (number % 250) as u8];
            let mark = TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], 1), 8339));
            if let Ok(mark) = mark {
                return Ok(Net { net, _mark: mark });
            }
        }
        Err("no free loopback addresses".to_owned())
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last)
    }

    /// Listens on a free port.
    pub fn listen(&self) -> Result<TcpListener, Failure> {
        TcpListener::bind((self.ip(2), 0)).map_err(|error| error.to_string())
    }
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder, Failure> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub struct Site {
    pub net: Net,
    pub store: Store,
    pub record: Record,
    pub hosts: Vec<Host>,
}

impl Site {
    /// Prepares a deployment without hosts.
    pub fn new(record: &Record) -> Result<Site, Failure> {
        let net = Net::claim()?;
        Ok(Site { net, store: Store::start(), record: record.clone(), hosts: Vec::new() })
    }

    /// Starts the hosts. `addresses` returns the addresses of the store and of the service for
    /// machines for a host, whose store listens at the address that it is passed.
    pub fn start_hosts(
        &mut self,
        dir: &Path,
        addresses: impl Fn(usize, SocketAddr) -> Result<(SocketAddr, Option<SocketAddr>), Failure>,
    ) -> Result<(), Failure> {
        for index in 0..HOSTS {
            let listener = self.net.listen()?;
            let addr = listener.local_addr().map_err(|error| error.to_string())?;
            self.store.listen(listener, index);
            let (store, cloud) = addresses(index, addr)?;
            let ip = self.net.ip(10 + index as u8);
            let host = Host::start(&format!("host-{index}"), ip, store, cloud, dir, &self.record);
            self.hosts.push(host.map_err(|error| format!("host: {error}"))?);
        }
        self.await_that("the hosts are ready", Duration::from_secs(15), |site| {
            site.hosts.iter().all(|host| {
                let answer = call(host.ready(), "GET", "/v1/readyz", &[], "", DEADLINE);
                answer.is_some_and(|(status, _)| status == 200)
            })
        })
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, services: &[&str], routes: &[Route]) {
        let services: Vec<String> = services
            .iter()
            .map(|name| {
                format!("{{\"name\":\"{name}\",\"rejects-overload\":true,\"spare\":false}}")
            })
            .collect();
        let routes: Vec<String> = routes
            .iter()
            .map(|Route { name, prefix, service }| {
                format!(
                    "{{\"name\":\"{name}\",\"host\":\"{NAME}\",\"prefix\":\"{prefix}\",\
                     \"kind\":\"non_idempotent\",\"timeout-ms\":3000,\"slo-ms\":600,\"priority\":0,\
                     \"service\":\"{service}\",\"attempts\":4,\"stretch\":1.6,\"public\":false}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
             \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144}},\
             \"tenants\":[{{\"name\":\"t-1\",\"api-keys\":[\"key-1\"],\"weight\":1,\
             \"max-count\":{{\"cpu\":0,\"mem-mb\":0,\"gpu\":0}}}}]}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &text);
        self.record.line(format!("operator: version {version} is acknowledged"));
    }

    /// Makes a client's call at a host.
    pub fn call(&self, host: usize, method: &str, path: &str, body: &str) -> Option<Response> {
        let headers = [
            ("host", NAME),
            ("authorization", KEY),
            ("content-type", "application/json"),
            ("x-verbenagap-deadline-ms", "3000"),
        ];
        let answer = call(self.hosts[host].front(), method, path, &headers, body, DEADLINE);
        let told = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.line(format!("client: {method} {path} at host-{host}: {told}"));
        answer
    }

    /// Submits a job of `tasks` tasks that take `ms` each, until it is accepted.
    pub fn submit(&self, host: usize, path: &str, tasks: u32, ms: u64) -> Result<(), Failure> {
        let body = format!(
            "{{\"spec\":\"ms={ms}\",\"steps\":[{{\"count\":{tasks},\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":{ms}}}]}}"
        );
        for _ in 0..5 {
            match self.call(host, "POST", path, &body) {
                Some((200, _)) => return Ok(()),
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        Err("a job was not accepted".to_owned())
    }

    /// Submits a job with one task that lasts.
    pub fn submit_lasting(&self, host: usize, path: &str) -> Result<(), Failure> {
        let body = "{\"spec\":\"ms=600000\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":256,\
                    \"estimate-ms\":700,\"long-running\":true,\"may-miss\":1}]}";
        match self.call(host, "POST", path, body) {
            Some((200, _)) => Ok(()),
            _ => Err("a job was not accepted".to_owned()),
        }
    }

    /// Waits until a condition holds.
    pub fn await_that(
        &self,
        what: &str,
        limit: Duration,
        holds: impl Fn(&Site) -> bool,
    ) -> Result<(), Failure> {
        let until = Instant::now() + limit;
        while !holds(self) {
            if Instant::now() >= until {
                return Err(format!("not in {limit:?}: {what}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.record.line(format!("case: {what}"));
        Ok(())
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
