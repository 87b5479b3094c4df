//! A client for the entry hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use futures_util::future::join_all;
use http::Request;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_events::Window;
use vg_net::{Body, Client, Reply, empty_body};

use crate::node::Status;

/// Number of events after which no further page is requested from a process.
const MAX_EVENTS: usize = 1_000_000;

/// Largest accepted answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time limit for opening a connection to an entry host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A client for entry hosts, which it reaches at their callers' addresses.
#[derive(Debug, Clone)]
pub(crate) struct NodeClient {
    client: Client,
    addrs: Vec<SocketAddr>,
    timeout: Duration,
}

/// The answer of one entry host, or why there is none.
#[derive(Debug, Clone)]
pub(crate) struct NodeAnswer<T> {
    /// Callers' address of the entry host.
    pub(crate) addr: SocketAddr,
    /// The answer, or an error message.
    pub(crate) answer: Result<T, String>,
}

impl NodeClient {
    /// Makes a client with a time limit for each exchange.
    pub(crate) fn new(addrs: Vec<SocketAddr>, timeout: Duration) -> NodeClient {
        NodeClient { client: Client::new(CONNECT_TIMEOUT, IDLE_TIMEOUT), addrs, timeout }
    }

    /// Lowers the time limit of further exchanges to `timeout` if it is longer.
    pub(crate) fn cap_timeout(&mut self, timeout: Duration) {
        self.timeout = self.timeout.min(timeout);
    }

    /// Asks every known entry host for its status, and then the live entry hosts that
    /// the answers name, so that one address is enough.
    pub(crate) async fn query_statuses(&mut self) -> Vec<NodeAnswer<Status>> {
        let mut answers = self.query_addrs(&self.addrs).await;
        let more = unqueried_addrs(&answers, &self.addrs);
        answers.extend(self.query_addrs(&more).await);
        self.addrs.extend(more);
        answers
    }

    async fn query_addrs(&self, addrs: &[SocketAddr]) -> Vec<NodeAnswer<Status>> {
        let requests = addrs.iter().map(async |&addr| {
            let answer = self.get_json(addr, "/v1/status").await;
            NodeAnswer { addr, answer }
        });
        join_all(requests).await
    }

    /// Sends a request to the first entry host that can be connected to.
    ///
    /// The next entry host is tried only if no byte of the request was written.
    pub(crate) async fn send(
        &self,
        build: impl Fn(&str) -> Result<Request<Body>, http::Error>,
        timeout: Duration,
    ) -> Result<Reply, vg_net::Error> {
        let mut last = None;
        for addr in &self.addrs {
            let request = build(&format!("http://{addr}"));
            let request = request.map_err(|source| vg_net::Error::Request { source })?;
            match self.client.call(request, timeout, MAX_ANSWER_BYTES).await {
                Err(error) if error.is_not_sent() => last = Some(error),
                result => return result,
            }
        }
        Err(last.unwrap_or(vg_net::Error::Decode { reason: "no address is given".to_owned() }))
    }

    /// Reads the events of all entry hosts concurrently, page by page.
    pub(crate) async fn query_events(&self) -> Vec<NodeAnswer<Window>> {
        let requests = self.addrs.iter().map(async |&addr| {
            let answer = self.read_events(addr).await;
            NodeAnswer { addr, answer }
        });
        join_all(requests).await
    }

    /// Reads the events of one entry host until a page is empty or [`MAX_EVENTS`] is reached.
    async fn read_events(&self, addr: SocketAddr) -> Result<Window, String> {
        let mut window: Window = self.get_json(addr, "/v1/events?from=0").await?;
        let mut page_len = window.events.len();
        while page_len > 0 && window.events.len() < MAX_EVENTS {
            let next = window.events.last().map_or(0, |event| event.serial.saturating_add(1));
            let next_page: Window = self.get_json(addr, &format!("/v1/events?from={next}")).await?;
            page_len = next_page.events.len();
            window.events.extend(next_page.events);
        }
        Ok(window)
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
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

/// Returns the addresses of live entry hosts whose status is not among the answers and
/// whose addresses have not been asked.
fn unqueried_addrs(answers: &[NodeAnswer<Status>], asked: &[SocketAddr]) -> Vec<SocketAddr> {
    let answers = answers.iter().filter_map(|answer| answer.answer.as_ref().ok());
    let answered: BTreeSet<&NodeId> = answers.clone().map(|status| &status.node).collect();
    let silent = answers.flat_map(Status::live).filter(|each| !answered.contains(&each.node));
    let addrs = silent.filter_map(|member| member.call_addr);
    let usable = addrs.filter(|addr| !addr.ip().is_unspecified() && !asked.contains(addr));
    usable.collect::<BTreeSet<_>>().into_iter().collect()
}
