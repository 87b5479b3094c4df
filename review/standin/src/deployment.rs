//! A small deployment: the store, servers and host processes, all on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::map;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Durations, HEARTBEAT, Kind, Worker};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/verbenagap-platform";
/// Host name of the queue.
const HOST: &str = "desk.example";
/// Time that a client waits for an answer.
pub const CLIENT_WAIT: Duration = Duration::from_secs(3);

/// Process ids of all hosts that were started and have not ended.
static HOST_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all host processes that a deployment has left running.
pub fn end_all_hosts() {
    let ids = std::mem::take(&mut *HOST_IDS.lock().unwrap_or_else(|error| error.into_inner()));
    for id in ids {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// A host process. Dropping it ends the process.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        HOST_IDS
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .retain(|&id| id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The servers by id; a heartbeat writes their registrations.
pub type Workers = Arc<Mutex<Vec<(String, Worker)>>>;

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub durations: Durations,
    pub workers: Workers,
    pub hosts: Vec<Host>,
    /// Whether servers write their registrations.
    heartbeats: Arc<AtomicBool>,
    folder: PathBuf,
    /// Number of hosts that were started.
    started: u8,
}

/// Returns a loopback address of this case alone: another case may run at the same time.
pub fn own_ip(last: u8) -> IpAddr {
    let id = std::process::id();
    Ipv4Addr::new(127, (1 + (id >> 8) % 250) as u8, (id & 255) as u8, last).into()
}

fn free_port(ip: IpAddr) -> u16 {
    // The port after it is free too: the second of the range serves the metrics.
    loop {
        let first = TcpListener::bind((ip, 0)).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        if port < 65_000 && TcpListener::bind((ip, port + 1)).is_ok() {
            return port;
        }
    }
}

impl Deployment {
    /// Starts the store, servers and hosts, and waits until a host is ready to serve.
    pub fn start(record: &Record, kinds: &[Kind], hosts: usize) -> Deployment {
        let (store, store_addr) = Store::start().expect("the store starts");
        let durations = Durations::default();
        let config = map! {
            "version" => 3u64,
            "routes" => vec![map! {
                "name" => "r-desk", "host" => HOST, "prefix" => "/desk/", "service" => "desk",
                "priority" => 0u64, "attempts" => 3u64, "stretch" => 1.6, "slo-ms" => 600u64,
                "public" => false,
            }],
            "services" => vec![map! {
                "name" => "desk", "rejects-overload" => true, "spare" => false,
            }],
            "limits" => map! {"max-body-bytes" => 65536u64},
            "tenants" => vec![map! {
                "name" => "t-1", "api-keys" => vec!["key-1".into()], "weight" => 1u64,
                "max-count" => map! {"cpu" => 0u64, "mem-mb" => 0u64, "gpu" => 0u64},
            }],
        };
        store.put("op/config", &config.to_string());
        let workers = Workers::default();
        for kind in kinds {
            let addr = (own_ip(1), 0).into();
            let worker = Worker::start(kind, 1, addr, &durations, record).expect("a server starts");
            worker.register(&store, 1);
            workers.lock().unwrap().push((kind.id.clone(), worker));
        }
        let (copy, all) = (store.clone(), Arc::clone(&workers));
        let heartbeats = Arc::new(AtomicBool::new(true));
        let beating = Arc::clone(&heartbeats);
        std::thread::spawn(move || {
            let seq = AtomicU64::new(2);
            loop {
                std::thread::sleep(HEARTBEAT);
                if !beating.load(Ordering::SeqCst) {
                    continue;
                }
                let seq = seq.fetch_add(1, Ordering::Relaxed);
                all.lock().unwrap().iter().for_each(|(_, worker)| worker.register(&copy, seq));
            }
        });
        let folder = std::env::temp_dir().join(format!("verbenagap-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut deployment = Deployment {
            record: record.clone(),
            store,
            durations,
            workers,
            hosts: Vec::new(),
            heartbeats,
            folder,
            started: 0,
        };
        for at in 1..=hosts {
            deployment.start_host(&format!("host-{at}"), store_addr);
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !deployment.is_serving() {
            if Instant::now() > until {
                crate::cannot_run("the hosts do not serve within 20 s");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // The leader polls the servers and records them.
        std::thread::sleep(Duration::from_millis(1500));
        deployment
    }

    fn start_host(&mut self, name: &str, store: SocketAddr) {
        let ip = own_ip(10 + self.started);
        self.started += 1;
        let local = |port: u16| format!("{ip}:{port}");
        let callers = local(free_port(ip));
        let range = free_port(ip);
        let settings = map! {
            "node" => name, "role" => "host", "class" => "front", "zone" => "z-1",
            "listen" => map! {
                "front" => callers.as_str(), "ready" => local(free_port(ip)),
                "control" => local(free_port(ip)),
            },
            "port-range" => vec![u64::from(range).into(), u64::from(range + 15).into()],
            "limits" => map! {"cpu-share" => 0.25, "cores" => 1u64, "link-mbps" => 1000.0},
            "heartbeat-ms" => HEARTBEAT.as_millis() as u64,
            "bounds" => map! {
                "contact-ms" => 3000u64, "max-hold-ms" => 10000u64, "stop-ms" => 200u64,
                "cancel_ms" => 3000u64, "early_ms" => 250u64, "status_s" => 120u64,
                "far-factor" => 3u64, "move-s" => 1.5, "upkeep-s" => 2u64, "lease-ms" => 3000u64,
                "fencing" => false,
            },
            "orders" => "call",
            "platform" => map! {
                "addr" => store.to_string(), "form" => "kv", "writes-per-s" => 400u64,
                "reads-per-s" => 2000u64, "history-s" => 20u64, "value-bytes" => 1048576u64,
                "min-ttl-ms" => 1000u64,
            },
        };
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(program())
            .env("VERBENAGAP_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| crate::cannot_run(&format!("{PROGRAM}: {error}")));
        HOST_IDS.lock().unwrap_or_else(|error| error.into_inner()).push(child.id());
        let callers = callers.parse().expect("an address");
        self.record.line(format_args!("{name} is started and serves clients at {callers}"));
        self.hosts.push(Host { name: name.to_owned(), callers, child });
    }

    fn is_serving(&self) -> bool {
        let answers = self.hosts.iter().all(|host| {
            let answer = self.quiet_call(host.callers, "GET", "", "");
            answer.is_some_and(|(status, _)| status == 200)
        });
        answers && self.leader().is_some()
    }

    /// Returns the position of the leading host, as the store shows it.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.value("vg/live/leader")?;
        let text = String::from_utf8_lossy(&value).into_owned();
        self.hosts.iter().position(|host| text.contains(host.name.as_str()))
    }

    /// Kills the leading host's process.
    pub fn kill_leader(&mut self) {
        let Some(at) = self.leader() else { crate::cannot_run("there is no leader") };
        let host = self.hosts.remove(at);
        self.record.line(format_args!("{} leads and is killed (SIGKILL)", host.name));
    }

    /// Kills a host that does not lead.
    pub fn kill_follower(&mut self) {
        let leader = self.leader();
        let Some(at) = (0..self.hosts.len()).find(|&at| Some(at) != leader) else { return };
        let host = self.hosts.remove(at);
        self.record.line(format_args!("{} is killed (SIGKILL) and stays away", host.name));
    }

    /// Lets the store be silent. The registrations of all servers lapse meanwhile, and each
    /// server is back after the time that is given for it.
    pub fn lose_store(&self, time: Duration, back: &[(&str, Duration)]) {
        self.heartbeats.store(false, Ordering::SeqCst);
        self.record.line(format_args!("the store is silent for {time:?}; leases pause"));
        self.store.be_silent(time);
        back.iter().for_each(|(id, _)| self.store.remove(&format!("servers/{id}")));
        self.record.line("the store answers again; the registrations have lapsed");
        let mut passed = Duration::ZERO;
        for (id, after) in back {
            std::thread::sleep(*after - passed);
            passed = *after;
            self.with_worker(id, |worker| worker.register(&self.store, 100));
            self.record.line(format_args!("{id} has registered again"));
        }
        self.heartbeats.store(true, Ordering::SeqCst);
    }

    fn quiet_call(
        &self,
        to: SocketAddr,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, Json)> {
        self.call_within(to, method, id, body, CLIENT_WAIT)
    }

    fn call_within(
        &self,
        to: SocketAddr,
        method: &str,
        id: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, Json)> {
        let headers = [
            ("host", HOST),
            ("authorization", "Token key-1"),
            ("content-type", "application/json"),
            ("x-verbenagap-deadline-ms", "3000"),
        ];
        let answer = http::call(to, method, &format!("/desk/{id}"), &headers, body, wait);
        answer.map(|(status, body)| (status, Json::parse(&body)))
    }

    /// Makes a client's call to a host and records it.
    pub fn call(&self, host: usize, method: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        self.call_for(host, method, id, body, CLIENT_WAIT)
    }

    /// Makes a client's call; the client leaves after `wait`.
    pub fn call_for(
        &self,
        host: usize,
        method: &str,
        id: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, Json)> {
        let to = &self.hosts[host];
        self.record.line(format_args!("client sends {method} {id} to {}: {body}", to.name));
        let answer = self.call_within(to.callers, method, id, body, wait);
        match &answer {
            Some((status, body)) => {
                self.record.line(format_args!("client gets {status} for {method} {id}: {body}"));
            }
            None => self.record.line(format_args!("client gets no answer for {method} {id}")),
        }
        answer
    }

    /// Returns a job's state as a host tells it, or the status if it tells none.
    pub fn state(&self, host: usize, id: &str) -> String {
        match self.quiet_call(self.hosts[host].callers, "GET", id, "") {
            Some((status, body)) => match body.get("state").text() {
                "" => status.to_string(),
                state => state.to_owned(),
            },
            None => "no answer".to_owned(),
        }
    }

    /// Does something with a server.
    pub fn with_worker<T>(&self, id: &str, act: impl FnOnce(&Worker) -> T) -> T {
        let workers = self.workers.lock().unwrap();
        let found = workers.iter().find(|(each, _)| each == id).expect("the server runs");
        act(&found.1)
    }

    /// Whether a task runs on any server.
    pub fn is_running(&self, task: &str) -> bool {
        self.workers.lock().unwrap().iter().any(|(_, worker)| worker.is_running(task))
    }

    /// Ends a server like a crash. Returns its address.
    pub fn crash_worker(&self, id: &str) -> SocketAddr {
        let mut workers = self.workers.lock().unwrap();
        let at = workers.iter().position(|(each, _)| each == id).expect("the server runs");
        let (_, worker) = workers.remove(at);
        worker.crash();
        worker.addr()
    }

    /// Starts a server again under its id and address, in its next life.
    pub fn restart_worker(&self, kind: &Kind, life: u64, addr: SocketAddr) {
        let worker = Worker::start(kind, life, addr, &self.durations, &self.record);
        let worker = worker.unwrap_or_else(|error| crate::cannot_run(&format!("{addr}: {error}")));
        worker.register(&self.store, 1);
        self.workers.lock().unwrap().push((kind.id.clone(), worker));
    }

    /// Ends all processes and keeps the hosts' logs beside the record if a folder is named.
    pub fn end(mut self) {
        self.hosts.clear();
        if let Some(keep) = std::env::var_os("KEEP_LOGS") {
            let _ = std::fs::create_dir_all(&keep);
            for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                let _ = std::fs::copy(entry.path(), Path::new(&keep).join(entry.file_name()));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn program() -> PathBuf {
    std::env::current_dir().unwrap_or_default().join(PROGRAM)
}

/// Waits until a condition holds, for at most `limit`. Returns whether it does.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    true
}
