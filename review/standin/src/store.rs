//! A stand-in for the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, base64, unbase64};

#[derive(Debug, Clone)]
struct Item {
    /// The value in base64.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug, Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

/// What happens to a write: it is carried out at once and answered, or it gets no answer and
/// is carried out later, if its condition still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    CarriedOutLate(Duration),
}

type Judge = Box<dyn Fn(&Json) -> Fate + Send + Sync>;

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    judge: Arc<Mutex<Option<Judge>>>,
    down_until: Arc<Mutex<Option<Instant>>>,
}

impl Store {
    pub fn start() -> std::io::Result<(Store, SocketAddr)> {
        let state = State { rev: 1, next_lease: 1, ..State::default() };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            judge: Arc::default(),
            down_until: Arc::default(),
        };
        let copy = store.clone();
        let server = Server::start((crate::deployment::own_ip(2), 0).into(), move |request| {
            copy.answer(request)
        })?;
        let copy = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                copy.expire();
            }
        });
        Ok((store, server.addr))
    }

    /// Decides from now on what happens to each conditional write.
    pub fn judge_writes(&self, judge: impl Fn(&Json) -> Fate + Send + Sync + 'static) {
        *self.judge.lock().unwrap() = Some(Box::new(judge));
    }

    /// Answers nothing for a time, in which leases pause. Returns at its end.
    pub fn be_silent(&self, time: Duration) {
        let until = Instant::now() + time;
        *self.down_until.lock().unwrap() = Some(until);
        for lease in self.state.0.lock().unwrap().leases.values_mut() {
            lease.expires += time;
        }
        std::thread::sleep(time);
        *self.down_until.lock().unwrap() = None;
    }

    /// Returns for how long the store answers nothing.
    fn silent_for(&self) -> Option<Duration> {
        let until = *self.down_until.lock().unwrap();
        until.map(|until| until.saturating_duration_since(Instant::now()))
    }

    /// Writes a key for the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.set(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.delete(key);
        self.state.1.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        state.items.get(key).map(|item| unbase64(&item.value))
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        let ended = state.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.state.1.notify_all();
        }
    }

    /// Carries out a call. While the store is silent, nothing is done and the connection ends
    /// without an answer.
    fn answer(&self, request: &Request) -> Answer {
        if let Some(time) = self.silent_for() {
            std::thread::sleep(time);
            return None;
        }
        let answer = self.carry_out(request);
        if let Some(time) = self.silent_for() {
            std::thread::sleep(time);
            return None;
        }
        answer
    }

    fn carry_out(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body);
        match (request.method.as_str(), request.route()) {
            ("GET", "/v1/kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = request.query("key")?;
                Some(match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item).to_string()),
                    None => (404, "{}".to_owned()),
                })
            }
            ("GET", "/v1/kv-range") => {
                let state = self.state.0.lock().unwrap();
                let prefix = request.query("prefix")?;
                let after = request.query("after").unwrap_or_default();
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
                let body = map! {"items" => items, "truncated" => false, "as-of" => state.rev};
                Some((200, body.to_string()))
            }
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => {
                let judge = self.judge.lock().unwrap();
                let fate = judge.as_ref().map_or(Fate::Answered, |judge| judge(&body));
                drop(judge);
                match fate {
                    Fate::Answered => Some(self.commit(&body)),
                    Fate::CarriedOutLate(delay) => {
                        let store = self.clone();
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            store.commit(&body);
                        });
                        // Nothing more comes on this connection.
                        std::thread::sleep(Duration::from_secs(100));
                        None
                    }
                }
            }
            ("POST", "/v1/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                let ttl_ms = body.get("ttl-ms").number()?;
                let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.next_lease += 1;
                state.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
                Some((200, map! {"lease" => id, "ttl-ms" => ttl_ms}.to_string()))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let id: u64 = path["/v1/kv-keep/".len()..].parse().ok()?;
                let mut state = self.state.0.lock().unwrap();
                Some(match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.expires = Instant::now() + lease.ttl;
                        (200, map! {"ttl-ms" => lease.ttl.as_millis() as u64}.to_string())
                    }
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let id: u64 = path["/v1/kv-lease-end/".len()..].parse().ok()?;
                self.state.0.lock().unwrap().end_lease(id);
                self.state.1.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix")?;
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait_ms: u64 = request.query("wait-ms")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events.iter();
            let new = events.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let rows: Vec<_> = new
                .map(|(rev, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => map! {"key" => key.as_str(), "rev" => *rev, "removed" => true},
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = map! {"events" => rows, "as-of" => state.rev};
                return Some((200, body.to_string()));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let expected = body.get("expected").list();
        let holds = expected.iter().all(|row| {
            let rev = state.items.get(row.get("key").text()).map_or(0, |item| item.rev);
            Some(rev) == row.get("rev").number()
        });
        if !holds {
            let keys = expected.iter().map(|row| row.get("key").text());
            let found = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
            return (412, map! {"items" => found.collect::<Vec<_>>()}.to_string());
        }
        let sets = body.get("set-keys").list();
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        if sets.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return (404, "{}".to_owned());
        }
        // All changes of one call have one revision.
        state.rev += 1;
        for row in sets {
            state.set(row.get("key").text(), row.get("value").text().to_owned(), lease_of(row));
        }
        for key in body.get("remove").list() {
            state.delete(key.text());
        }
        self.state.1.notify_all();
        (200, map! {"rev" => state.rev}.to_string())
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.events.push((self.rev, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_some() {
            self.rev += 1;
            let keys = self.items.iter().filter(|(_, item)| item.lease == id);
            let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    map! {
        "key" => key, "value" => item.value.as_str(), "rev" => item.rev,
        "created" => item.created, "lease" => item.lease,
    }
}
