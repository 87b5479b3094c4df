//! HTTP calls to one of several addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use vg_net::{Body, Client, full_body, read_body};

use crate::Error;
use crate::etcd::classify::{Effect, classify_body};
use crate::etcd::settings::EtcdSettings;

/// Maximum size of an error answer.
const ERROR_MAX_BYTES: usize = 64 * 1024;

/// How long an idle connection is kept open.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Sends calls to the service; clones share connections.
#[derive(Debug, Clone)]
pub(crate) struct Transport {
    client: Client,
    settings: Arc<EtcdSettings>,
    preferred: Arc<AtomicUsize>,
}

impl Transport {
    /// Creates a transport.
    pub(crate) fn new(settings: EtcdSettings) -> Transport {
        Transport {
            client: Client::new(settings.connect_timeout, IDLE_TIME),
            settings: Arc::new(settings),
            preferred: Arc::default(),
        }
    }

    /// Returns the settings.
    pub(crate) fn settings(&self) -> &EtcdSettings {
        &self.settings
    }

    /// Posts a message and reads the complete answer, which may have at most `max_bytes`.
    pub(crate) async fn post<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        effect: Effect,
        max_bytes: usize,
    ) -> Result<Bytes, Error> {
        let exchange = async {
            let body = self.open(path, message, effect).await?;
            let answer = read_body(body, max_bytes).await;
            answer.map_err(|e| self.unanswered(effect, e.to_string()))
        };
        match timeout(self.settings.call_timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.unanswered(effect, "the call timed out".to_owned())),
        }
    }

    /// Posts a message and decodes the answer, which may have at most `max_bytes`.
    pub(crate) async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        effect: Effect,
        max_bytes: usize,
    ) -> Result<A, Error> {
        let body = self.post(path, message, effect, max_bytes).await?;
        decode(&body)
    }

    /// Posts a message and returns the body of a successful answer as soon as the head of the
    /// answer has arrived.
    pub(crate) async fn open<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        effect: Effect,
    ) -> Result<Incoming, Error> {
        let message = serde_json::to_vec(message);
        let message = message.map_err(|e| Error::Refused { reason: e.to_string() })?;
        let response = self.send(path, message.into(), effect).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let body = read_body(response.into_body(), ERROR_MAX_BYTES).await.unwrap_or_default();
        let error = classify_body(status.as_u16(), &body, effect);
        if matches!(error, Error::AnswerLost { .. } | Error::Unavailable { .. }) {
            self.prefer_next();
        }
        Err(error)
    }

    /// Sends a request to the first address that accepts a connection. Tries each address once.
    async fn send(
        &self,
        path: &str,
        message: Bytes,
        effect: Effect,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut reason = "no address is configured".to_owned();
        for _ in &self.settings.addresses {
            let request = request(self.address(), path, message.clone())?;
            match self.client.send(request, self.settings.call_timeout).await {
                Ok(response) => return Ok(response),
                Err(e) if e.is_not_sent() => {
                    reason = e.to_string();
                    self.prefer_next();
                }
                Err(e) => return Err(self.unanswered(effect, e.to_string())),
            }
        }
        Err(Error::Unavailable { reason })
    }

    /// Returns the error for a call without a usable answer. Later calls use the next address
    /// first, since the present address may hang.
    fn unanswered(&self, effect: Effect, reason: String) -> Error {
        self.prefer_next();
        effect.unanswered(reason)
    }

    /// Makes later calls use the next address first.
    fn prefer_next(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    fn address(&self) -> SocketAddr {
        let addresses = &self.settings.addresses;
        addresses[self.preferred.load(Ordering::Relaxed) % addresses.len()]
    }
}

/// Decodes a JSON message.
pub(crate) fn decode<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, Error> {
    serde_json::from_slice(bytes).map_err(|e| Error::Malformed { reason: e.to_string() })
}

fn request(to: SocketAddr, path: &str, message: Bytes) -> Result<Request<Body>, Error> {
    Request::post(format!("http://{to}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full_body(message))
        .map_err(|e| Error::Refused { reason: e.to_string() })
}
