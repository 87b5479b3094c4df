//! Requests to entry hosts.

use std::net::SocketAddr;

use futures_util::future::join_all;
use http::Request;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_net::{Body, Client, Reply, empty};

use crate::node::Status;

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

    /// Asks every entry host for its status, all at once.
    pub(crate) async fn statuses(&self) -> Vec<View<Status>> {
        self.each("/v1/status").await
    }

    /// Asks every entry host for the JSON at a path, all at once.
    pub(crate) async fn each<T: DeserializeOwned>(&self, path: &str) -> Vec<View<T>> {
        let asked = self.addrs.iter().map(async |&addr| {
            let answer = self.json(addr, path).await;
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

    async fn json<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, String> {
        let request = Request::get(format!("http://{addr}{path}")).body(empty());
        let request = request.map_err(|e| e.to_string())?;
        let reply = self.client.call(request, self.timeout, MAX_ANSWER_BYTES).await;
        let reply = reply.map_err(|e| e.to_string())?;
        if !reply.status.is_success() {
            return Err(format!("answered {}", reply.status.as_u16()));
        }
        serde_json::from_slice(&reply.body).map_err(|e| format!("malformed answer: {e}"))
    }
}
