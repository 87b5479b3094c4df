//! Requests to entry hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use futures_util::future::join_all;
use http::Request;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_events::Window;
use vg_net::{Body, Client, Reply, empty_body};

use crate::node::Status;

/// Most events that are taken from one process.
const MOST_EVENTS: usize = 1_000_000;

/// Longest accepted answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time that a connection to an entry host may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that an unused connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Access to entry hosts by their callers' addresses.
#[derive(Debug, Clone)]
pub(crate) struct Nodes {
    client: Client,
    addrs: Vec<SocketAddr>,
    timeout: Duration,
}

/// One entry host's answer, or why there is none.
#[derive(Debug, Clone)]
pub(crate) struct View<T> {
    /// Its callers' address.
    pub(crate) addr: SocketAddr,
    /// The answer.
    pub(crate) answer: Result<T, String>,
}

impl Nodes {
    /// Makes an access with a time limit for each exchange.
    pub(crate) fn new(addrs: Vec<SocketAddr>, timeout: Duration) -> Nodes {
        Nodes { client: Client::new(CONNECT_TIMEOUT, IDLE_TIME), addrs, timeout }
    }

    /// Limits the time for each further exchange.
    pub(crate) fn limit(&mut self, timeout: Duration) {
        self.timeout = self.timeout.min(timeout);
    }

    /// Asks every entry host for its status, and then those that they know to
    /// be live, so that one address is enough.
    pub(crate) async fn survey(&mut self) -> Vec<View<Status>> {
        let mut views = self.statuses(&self.addrs).await;
        let more = unasked(&views, &self.addrs);
        views.extend(self.statuses(&more).await);
        self.addrs.extend(more);
        views
    }

    async fn statuses(&self, addrs: &[SocketAddr]) -> Vec<View<Status>> {
        let asked = addrs.iter().map(async |&addr| {
            let answer = self.json(addr, "/v1/status").await;
            View { addr, answer }
        });
        join_all(asked).await
    }

    /// Sends a request to the first entry host that can be connected to.
    ///
    /// Another one is tried only if no byte of the request was written.
    pub(crate) async fn send(
        &self,
        make: impl Fn(&str) -> Result<Request<Body>, http::Error>,
        limit: Duration,
    ) -> Result<Reply, vg_net::Error> {
        let mut last = None;
        for addr in &self.addrs {
            let request = make(&format!("http://{addr}"));
            let request = request.map_err(|source| vg_net::Error::Request { source })?;
            match self.client.call(request, limit, MAX_ANSWER_BYTES).await {
                Err(error) if error.is_not_sent() => last = Some(error),
                done => return done,
            }
        }
        Err(last.unwrap_or(vg_net::Error::Decode { reason: "no address is given".to_owned() }))
    }

    /// Asks every entry host for its events, all at once, page after page.
    pub(crate) async fn windows(&self) -> Vec<View<Window>> {
        let asked = self.addrs.iter().map(async |&addr| {
            let answer = self.window(addr).await;
            View { addr, answer }
        });
        join_all(asked).await
    }

    async fn window(&self, addr: SocketAddr) -> Result<Window, String> {
        let mut whole: Window = self.json(addr, "/v1/events?from=0").await?;
        let mut page = whole.events.len();
        while page > 0 && whole.events.len() < MOST_EVENTS {
            let next = whole.events.last().map_or(0, |event| event.serial.saturating_add(1));
            let more: Window = self.json(addr, &format!("/v1/events?from={next}")).await?;
            page = more.events.len();
            whole.events.extend(more.events);
        }
        Ok(whole)
    }

    async fn json<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, String> {
        let request = Request::get(format!("http://{addr}{path}")).body(empty_body());
        let request = request.map_err(|e| e.to_string())?;
        let reply = self.client.call(request, self.timeout, MAX_ANSWER_BYTES).await;
        let reply = reply.map_err(|e| e.to_string())?;
        if !reply.status.is_success() {
            return Err(format!("answered {}", reply.status.as_u16()));
        }
        serde_json::from_slice(&reply.body).map_err(|e| format!("malformed answer: {e}"))
    }
}

/// Returns addresses of live entry hosts that gave no status themselves.
fn unasked(views: &[View<Status>], asked: &[SocketAddr]) -> Vec<SocketAddr> {
    let answers = views.iter().filter_map(|view| view.answer.as_ref().ok());
    let answered: BTreeSet<&NodeId> = answers.clone().map(|status| &status.node).collect();
    let silent = answers.flat_map(Status::live).filter(|each| !answered.contains(&each.node));
    let addrs = silent.filter_map(|member| member.call_addr);
    let usable = addrs.filter(|addr| !addr.ip().is_unspecified() && !asked.contains(addr));
    usable.collect::<BTreeSet<_>>().into_iter().collect()
}
