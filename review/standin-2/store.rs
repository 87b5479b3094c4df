//! The platform's metadata store. Each host has an address of its own, so that the record
//! tells which host wrote a revision.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::Json;

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// In base64, as it was sent.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    rev: u64,
    /// Changes in the order of their revisions; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Host that wrote a revision under a condition.
    writers: HashMap<u64, usize>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.iter().for_each(|&lease| self.end_lease(lease));
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn row(key: &str, item: &Item) -> String {
    let Item { value, rev, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\"lease\":{lease}}}"
    )
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |number, &byte| number << 8 | u32::from(byte))
            << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= part.len() { digit } else { '=' });
        }
    }
    text
}

impl Store {
    pub fn start() -> Store {
        let store = Store::default();
        let shared = Arc::clone(&store.shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                if shared.0.lock().unwrap().expire(Instant::now()) {
                    shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Serves a host on a listener.
    pub fn listen(&self, listener: TcpListener, host: usize) {
        let store = self.clone();
        serve(listener, move |request| store.answer(&request, host));
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key as a worker that leaves does.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }

    /// Returns the host that wrote a revision under a condition.
    pub fn writer(&self, rev: u64) -> Option<usize> {
        self.shared.0.lock().unwrap().writers.get(&rev).copied()
    }

    fn answer(&self, request: &Request, host: usize) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.key(request.parameter("key").unwrap_or_default()),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.txn(&body, host),
            ("POST", "/v1/kv-lease") => self.grant(&body),
            ("POST", path) => match path.strip_prefix("/v1/kv-keep/") {
                Some(id) => self.keep(id.parse().unwrap_or(0)),
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) => match path.strip_prefix("/v1/kv-lease-end/") {
                Some(id) => self.end(id.parse().unwrap_or(0)),
                None => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> Response {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, row(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let state = self.shared.0.lock().unwrap();
        let under = state.items.range(prefix.to_owned()..);
        let under = under.take_while(|(key, _)| key.starts_with(prefix));
        let mut rows: Vec<String> = under
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| row(key, item))
            .collect();
        let truncated = rows.len() > PAGE_ITEMS;
        rows.truncate(PAGE_ITEMS);
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"as-of\":{}}}",
            rows.join(","),
            state.rev
        );
        (200, body)
    }

    fn watch(&self, request: &Request) -> Response {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let first = state.history.partition_point(|(rev, _, _)| *rev <= after);
            let news = state.history[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(rev, key, item)| match item {
                    Some(item) => row(key, item),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"removed\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"as-of\":{}}}", events.join(","), state.rev);
                return (200, body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Json, host: usize) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        state.expire(Instant::now());
        let expected = body.get("expected").list();
        let holds = |condition: &Json| {
            let key = condition.get("key").text().unwrap_or_default();
            let rev = state.items.get(key).map_or(0, |item| item.rev);
            condition.get("rev").num() == Some(rev)
        };
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|condition| {
                let key = condition.get("key").text()?;
                Some(row(key, state.items.get(key)?))
            });
            let found: Vec<String> = found.collect();
            return (412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let sets = body.get("set-keys").list();
        let lease = |set: &Json| set.get("lease").num().unwrap_or(0);
        if sets.iter().any(|set| lease(set) != 0 && !state.leases.contains_key(&lease(set))) {
            return (404, "{}".to_owned());
        }
        state.rev += 1;
        let rev = state.rev;
        if !expected.is_empty() {
            state.writers.insert(rev, host);
        }
        for set in sets {
            let key = set.get("key").text().unwrap_or_default();
            let value = set.get("value").text().unwrap_or_default().to_owned();
            state.put(key, value, lease(set));
        }
        for key in body.get("remove").list() {
            state.remove(key.text().unwrap_or_default());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"rev\":{rev}}}"))
    }

    fn grant(&self, body: &Json) -> Response {
        let ttl = body.get("ttl-ms").num().unwrap_or(1000).max(1000);
        let mut state = self.shared.0.lock().unwrap();
        state.last_lease += 1;
        let (id, time) = (state.last_lease, Duration::from_millis(ttl));
        state.leases.insert(id, (time, Instant::now() + time));
        (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}"))
    }

    fn keep(&self, id: u64) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        if state.expire(Instant::now()) {
            self.shared.1.notify_all();
        }
        match state.leases.get_mut(&id) {
            Some((time, until)) => {
                *until = Instant::now() + *time;
                (200, format!("{{\"lease\":{id},\"ttl-ms\":{}}}", time.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, id: u64) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        if !state.leases.contains_key(&id) {
            return (404, "{}".to_owned());
        }
        state.end_lease(id);
        self.shared.1.notify_all();
        (200, "{}".to_owned())
    }
}
