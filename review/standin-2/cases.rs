//! The cases. Each returns whether its rule held.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cloud::{Cloud, addr};
use crate::link::{Cut, Fate, Trigger, open};
use crate::record::Record;
use crate::site::{Failure, Folder, HOSTS, Route, Site, sleep};
use crate::worker::{Run, Worker};

/// Workers of a service where one is cut off: a share of 0.167, of at most 0.17.
const SERVICE_WORKERS: usize = 6;
/// Length of the cut of a worker: at most 5.5 s.
const WORKER_CUT_S: f64 = 5.5;
/// Workers of a service where one crashes: a share of 0.125, of at most 0.14.
const CRASH_WORKERS: usize = 8;
/// Length of the cut of a worker with broken connections: at most 5 s.
const SERVER_CUT_S: f64 = 5.0;
/// Length of the cut of a host: at most 12 s.
const HOST_CUT_S: f64 = 8.0;
/// Time from the kill of a host to its start: at most 3.5 s.
const DOWN_S: f64 = 1.0;
/// Tasks of each of two jobs that fill two workers, but for a task.
const SILENT_TASKS: u32 = 31;
/// A job of the cases.
const JOB: &str = "5c0e7a21d94b36f8";

/// TWICE: a queue goes to another service, and then the host that gives the orders is killed
/// while a worker is cut off and runs on.
pub fn moved(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let mut site = Site::new(record)?;
    let route = |service| [Route { name: "r-desk", prefix: "/desk/", service }];
    site.configure(1, &["alpha", "beta"], &route("alpha"));
    let mut workers = Vec::new();
    let mut cuts = Vec::new();
    for index in 0..2 * SERVICE_WORKERS {
        let service = if index < SERVICE_WORKERS { "alpha" } else { "beta" };
        let (outer, inner, cut) = (site.net.listen()?, site.net.listen()?, Cut::default());
        let (id, machine) = (format!("i-{index}"), format!("m-{index}"));
        let registered = addr(&outer);
        open(outer, addr(&inner), cut.clone(), None, &id, record);
        let worker = Worker::start(&id, &machine, service, inner, registered, &site.store, record);
        workers.push(worker);
        cuts.push(cut);
    }
    site.start_hosts(&folder.0, |_, store| Ok((store, None)))?;
    sleep(3.0);
    site.submit(0, &format!("/desk/{JOB}"), 1, 9000)?;
    let is_running = |_: &Site| workers.iter().any(|worker| worker.is_running(JOB));
    site.await_that("the task runs", Duration::from_secs(5), is_running)?;
    let at = workers.iter().position(|worker| worker.is_running(JOB)).unwrap_or(0);
    sleep(0.5);
    site.configure(2, &["alpha", "beta"], &route("beta"));
    sleep(3.0);
    let giver = site.store.writer(workers[at].last_fence());
    let giver = giver.ok_or("nobody knows who gave the order")?;
    if trouble {
        cuts[at].set(true);
        record.line(format!("case: {} is cut off and runs on", workers[at].id()));
        site.hosts[giver].kill();
        sleep(DOWN_S);
        site.hosts[giver].launch().map_err(|error| error.to_string())?;
        sleep(WORKER_CUT_S - DOWN_S);
        cuts[at].set(false);
        record.line("case: the cut has ended");
        sleep(4.0);
    } else {
        sleep(8.0);
    }
    let runs: Vec<Run> = workers.iter().flat_map(Worker::runs).collect();
    Ok(!runs_overlap(&runs, record))
}

/// Whether two runs of a task were at work at the same time.
fn runs_overlap(runs: &[Run], record: &Record) -> bool {
    let now = Instant::now();
    let mut found = false;
    for (at, a) in runs.iter().enumerate() {
        for b in runs[at + 1..].iter().filter(|b| b.task == a.task) {
            let end = |run: &Run| run.ended.map_or(now, |(at, _)| at);
            let (from, until) = (a.started.max(b.started), end(a).min(end(b)));
            if from < until {
                found = true;
                record.line(format!(
                    "BROKEN: {} runs twice from {:.3} to {:.3}: run {} on {} and run {} on {}",
                    a.task,
                    record.seconds(from),
                    record.seconds(until),
                    a.run,
                    a.worker,
                    b.run,
                    b.worker
                ));
            }
        }
    }
    found
}

/// ONE: the host that orders an upkeep is cut off while the order is on its way, and the order
/// arrives when the cut ends, after that of the next holder.
pub fn late(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let mut site = Site::new(record)?;
    site.configure(1, &["alpha"], &[Route { name: "r-desk", prefix: "/desk/", service: "alpha" }]);
    let mut workers = Vec::new();
    for index in 0..5 {
        let listener = site.net.listen()?;
        let (id, machine) = (format!("i-{index}"), format!("m-{index}"));
        let addr = addr(&listener);
        workers.push(Worker::start(&id, &machine, "alpha", listener, addr, &site.store, record));
    }
    let listener = site.net.listen()?;
    let cloud_addr = addr(&listener);
    let cloud = Cloud::start(listener, &workers, record);
    let cuts = [Cut::default(), Cut::default(), Cut::default()];
    let cut_host: Arc<Mutex<Option<usize>>> = Arc::default();
    let links: Vec<_> = (0..cuts.len())
        .map(|_| Ok((site.net.listen()?, site.net.listen()?)))
        .collect::<Result<_, Failure>>()?;
    let links = Mutex::new(links.into_iter().map(Some).collect::<Vec<_>>());
    site.start_hosts(&folder.0, |index, store| {
        let (to_store, to_cloud) = links.lock().unwrap()[index].take().ok_or("no link")?;
        let addresses = (addr(&to_store), Some(addr(&to_cloud)));
        let (found, name) = (Arc::clone(&cut_host), format!("host-{index}"));
        let note = record.clone();
        // The first order of all is the one that the cut meets.
        let trigger: Trigger = Arc::new(move |part: &[u8]| {
            let mut found = found.lock().unwrap();
            let meets = trouble && found.is_none() && part.starts_with(b"POST /v1/machine-upkeep");
            if meets {
                *found = Some(index);
                note.line(format!("case: host-{index} has sent an order and is cut off"));
            }
            if meets { Fate::Cut } else { Fate::Pass }
        });
        open(to_store, store, cuts[index].clone(), None, &name, record);
        open(to_cloud, cloud_addr, cuts[index].clone(), Some(trigger), &name, record);
        Ok(addresses)
    })?;
    sleep(3.0);
    site.store.put(
        "op/wave/1",
        "{\"wave\":1,\"machines\":[\"m-0\"],\"complete-by-s\":26,\"max-count\":1}",
    );
    record.line("operator: wave 1 is acknowledged");
    if trouble {
        let is_cut = |_: &Site| cut_host.lock().unwrap().is_some();
        site.await_that("an order was sent", Duration::from_secs(12), is_cut)?;
        let index = cut_host.lock().unwrap().ok_or("no order")?;
        sleep(HOST_CUT_S);
        cuts[index].set(false);
        record.line(format!("case: the cut of host-{index} has ended"));
        sleep(4.0);
    } else {
        let is_ordered = |_: &Site| !cloud.orders().is_empty();
        site.await_that("an order was sent", Duration::from_secs(12), is_ordered)?;
        sleep(8.0);
    }
    let orders = cloud.orders();
    let mut holds = true;
    for pair in orders.windows(2) {
        if pair[0].machine == pair[1].machine && pair[1].fence < pair[0].fence {
            holds = false;
            record.line(format!(
                "BROKEN: {} got an order with fence {} by {} after one with fence {} by {}",
                pair[1].machine, pair[1].fence, pair[1].holder, pair[0].fence, pair[0].holder
            ));
        }
    }
    Ok(holds)
}

/// LOST: a version of the configuration replaces a route by one of another name with the same
/// prefix and service, while accepted jobs wait.
pub fn renamed(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let mut site = Site::new(record)?;
    let route = |name| [Route { name, prefix: "/desk/", service: "alpha" }];
    site.configure(1, &["alpha"], &route("r-desk"));
    let mut workers = Vec::new();
    for index in 0..2 {
        let listener = site.net.listen()?;
        let (id, machine) = (format!("i-{index}"), format!("m-{index}"));
        let addr = addr(&listener);
        workers.push(Worker::start(&id, &machine, "alpha", listener, addr, &site.store, record));
    }
    site.start_hosts(&folder.0, |_, store| Ok((store, None)))?;
    sleep(3.0);
    // Two steps: the second one's turn comes after the change.
    let path = format!("/desk/{JOB}");
    let step = "\"count\":2,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":4000";
    let body = format!("{{\"spec\":\"ms=4000\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}}]}}");
    if site.call(0, "POST", &path, &body).is_none_or(|(status, _)| status != 200) {
        return Err("the job was not accepted".to_owned());
    }
    let is_running = |_: &Site| workers.iter().any(|worker| worker.is_running(JOB));
    site.await_that("a task runs", Duration::from_secs(5), is_running)?;
    if trouble {
        site.configure(2, &["alpha"], &route("r-counter"));
    }
    let first_done = |_: &Site| {
        let runs: Vec<Run> = workers.iter().flat_map(Worker::runs).collect();
        runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "done")).count() >= 2
    };
    site.await_that("the first step has ended", Duration::from_secs(10), first_done)?;
    // Nothing else runs. The job may have nothing running for 3 s; it gets ten times as long.
    sleep(30.0);
    let mut state = None;
    for host in 0..site.hosts.len() {
        state = site.call(host, "GET", &path, "").or(state);
    }
    let complete = state.is_some_and(|(status, body)| status == 200 && body.contains("complete"));
    let started = workers.iter().flat_map(Worker::runs).count();
    if !complete {
        record.line(format!(
            "BROKEN: {started} tasks have started in all; nothing has run for 30 s while the second \
             step's turn has come and both workers are idle"
        ));
    }
    Ok(complete)
}

/// LOST: all open connections to workers and store fall silent for good, and new ones work.
pub fn silent(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let mut site = Site::new(record)?;
    site.configure(1, &["alpha"], &[Route { name: "r-desk", prefix: "/desk/", service: "alpha" }]);
    let cut = Cut::default();
    let mut workers = Vec::new();
    for index in 0..2 {
        let (outer, inner) = (site.net.listen()?, site.net.listen()?);
        let (id, machine) = (format!("i-{index}"), format!("m-{index}"));
        let registered = addr(&outer);
        open(outer, addr(&inner), cut.clone(), None, &id, record);
        let worker = Worker::start(&id, &machine, "alpha", inner, registered, &site.store, record);
        workers.push(worker);
    }
    let links: Vec<_> =
        (0..HOSTS).map(|_| site.net.listen().map(Some)).collect::<Result<_, Failure>>()?;
    let links = Mutex::new(links);
    site.start_hosts(&folder.0, |index, store| {
        let link = links.lock().unwrap()[index].take().ok_or("no link")?;
        let link_addr = addr(&link);
        open(link, store, cut.clone(), None, &format!("host-{index}"), record);
        Ok((link_addr, None))
    })?;
    sleep(3.0);
    site.submit_lasting(0, &format!("/desk/{JOB}"))?;
    let is_running = |_: &Site| workers.iter().any(|worker| worker.is_running(JOB));
    site.await_that("the lasting task runs", Duration::from_secs(5), is_running)?;
    sleep(1.0);
    // Two jobs fill the workers for a moment: the host that gives the orders has then sent as
    // many at once as tasks fit.
    site.submit(0, "/desk/0a0b0c0d0e0f0101", SILENT_TASKS, 400)?;
    site.submit(1, "/desk/0a0b0c0d0e0f0102", SILENT_TASKS, 400)?;
    sleep(2.0);
    let struck = Instant::now();
    if trouble {
        cut.silence();
        record.line("case: all open connections to workers and store fall silent");
    }
    sleep(25.0);
    let runs: Vec<Run> = workers.iter().flat_map(Worker::runs).collect();
    Ok(!stands_still(&runs, struck, record))
}

/// Whether a lasting task has not run for 3 s, from 6 s after its last run on, where these 3 s
/// and the 4 s before them are calm.
fn stands_still(runs: &[Run], struck: Instant, record: &Record) -> bool {
    let now = Instant::now();
    let mut lasting: Vec<&Run> = runs.iter().filter(|run| run.task.starts_with(JOB)).collect();
    lasting.sort_by_key(|run| run.started);
    let starts = lasting.iter().skip(1).map(|run| run.started).chain([now]);
    let mut found = false;
    for (run, next) in lasting.iter().zip(starts) {
        let Some((ended, how)) = run.ended else { continue };
        // In touch `contact-ms` after the connections fell silent.
        let calm = struck + Duration::from_millis(3000 + 4000);
        let from = (ended + Duration::from_secs(6)).max(calm);
        let until = from + Duration::from_secs(3);
        record.line(format!(
            "case: the lasting task ended {how} at {:.3} and ran again at {:.3}",
            record.seconds(ended),
            record.seconds(next)
        ));
        if next > until {
            found = true;
            record.line(format!(
                "BROKEN: the lasting task has not run from {:.3} to {:.3}",
                record.seconds(from),
                record.seconds(until)
            ));
        }
    }
    found
}

/// TWICE: a worker starts again under its id, a renewal of its earlier life arrives late, and
/// then the worker is cut off, with broken connections, and runs on.
pub fn lengthened(trouble: bool, record: &Record) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let mut site = Site::new(record)?;
    site.configure(1, &["alpha"], &[Route { name: "r-desk", prefix: "/desk/", service: "alpha" }]);
    let (mut workers, mut cuts, mut targets) = (Vec::new(), Vec::new(), Vec::new());
    let renewal = Arc::new(Mutex::new(Renewal::NotWanted));
    for index in 0..CRASH_WORKERS {
        let (outer, inner, cut) = (site.net.listen()?, site.net.listen()?, Cut::default());
        let (id, machine) = (format!("i-{index}"), format!("m-{index}"));
        let registered = addr(&outer);
        let renewal = Arc::clone(&renewal);
        let trigger: Trigger = Arc::new(move |part: &[u8]| match index {
            0 => renewal.lock().unwrap().take_if_wanted(part),
            _ => Fate::Pass,
        });
        targets.push(addr(&inner));
        open(outer, addr(&inner), cut.clone(), Some(trigger), &id, record);
        let worker = Worker::start(&id, &machine, "alpha", inner, registered, &site.store, record);
        workers.push(worker);
        cuts.push(cut);
    }
    site.start_hosts(&folder.0, |_, store| Ok((store, None)))?;
    sleep(8.0);
    if trouble {
        // A call to the first worker is on its way when the worker crashes.
        *renewal.lock().unwrap() = Renewal::Wanted;
        let is_held = |_: &Site| matches!(*renewal.lock().unwrap(), Renewal::Held(_));
        site.await_that("a renewal for i-0 is on its way", Duration::from_secs(5), is_held)?;
        cuts[0].refuse(true);
        workers[0].crash();
    }
    // The others are busy when the worker is back, so that it gets the task.
    for at in 1..CRASH_WORKERS {
        site.submit(0, &format!("/desk/0a0b0c0d0e0f010{at}"), 32, 4500)?;
    }
    sleep(1.0);
    if trouble {
        workers[0].restart();
        cuts[0].refuse(false);
    }
    sleep(1.0);
    site.submit(0, &format!("/desk/{JOB}"), 1, 9000)?;
    let is_running = |_: &Site| workers.iter().any(|worker| worker.is_running(JOB));
    site.await_that("the task runs", Duration::from_secs(3), is_running)?;
    sleep(0.5);
    if trouble {
        if !workers[0].is_running(JOB) {
            return Err("the task runs on another worker".to_owned());
        }
        let held = std::mem::replace(&mut *renewal.lock().unwrap(), Renewal::NotWanted);
        let Renewal::Held(call) = held else { return Err("no renewal".to_owned()) };
        deliver(targets[0], &call, record);
        cuts[0].refuse(true);
        record.line("case: i-0 is cut off, its connections break, and it runs on");
        sleep(SERVER_CUT_S);
        cuts[0].refuse(false);
        record.line("case: the cut has ended");
        sleep(4.0);
    } else {
        sleep(9.5);
    }
    let runs: Vec<Run> = workers.iter().flat_map(Worker::runs).collect();
    Ok(!runs_overlap(&runs, record))
}

/// The renewal of a lease that is on its way for long.
enum Renewal {
    NotWanted,
    Wanted,
    Held(Vec<u8>),
}

impl Renewal {
    /// Takes a call if it is one and is wanted; it doesn't arrive then.
    fn take_if_wanted(&mut self, part: &[u8]) -> Fate {
        let text = String::from_utf8_lossy(part);
        let is_renewal = text.starts_with("POST /v1/hold") && text.contains("\"deadline-ms\"");
        if !is_renewal || !matches!(self, Renewal::Wanted) {
            return Fate::Pass;
        }
        *self = Renewal::Held(part.to_vec());
        Fate::Lost
    }
}

/// Delivers a call that was on its way for long; nobody waits for the response.
fn deliver(to: SocketAddr, call: &[u8], record: &Record) {
    let told = TcpStream::connect(to).and_then(|mut stream| {
        stream.write_all(call)?;
        let mut part = [0; 4096];
        let count = stream.read(&mut part)?;
        Ok(String::from_utf8_lossy(&part[..count]).lines().last().unwrap_or_default().to_owned())
    });
    let body = String::from_utf8_lossy(call);
    let body = body.lines().last().unwrap_or_default();
    record.line(format!("case: the renewal {body} arrives late; response {told:?}"));
}
