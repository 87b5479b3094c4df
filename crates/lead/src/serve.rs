//! Serves the calls of peers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_net::{
    Body, Service, ServiceError, empty_body, from_msgpack, full_body, read_request, to_msgpack,
};

use crate::host::lock;
use crate::messages::{
    Ack, ConfigAnswer, ConfigQuery, CountAnswer, CountQuery, DurableCancel, DurableJob, JobQuery,
    LoadAnswer, LoadQuery, RelayRequest, StoreQuery, UnresolvedAnswer,
};
use crate::peers::{PEER_MESSAGE_MAX_BYTES, PEER_TIMEOUT};
use crate::{Host, Platform};

/// Time limit for handling a peer's call; the caller's limit, [`PEER_TIMEOUT`],
/// is longer.
const HANDLER_TIMEOUT: Duration = Duration::from_millis(550);
/// Time limit for the body of a peer's call. The caller gives up earlier.
const PEER_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP service for the calls of peers.
pub(crate) struct PeerService<P: Platform, C: Clock>(pub(crate) Host<P, C>);

impl<P: Platform, C: Clock> Service for PeerService<P, C> {
    async fn call(
        &self,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> Result<Response<Body>, ServiceError> {
        let name = request.uri().path().trim_start_matches('/').to_owned();
        let body = request.into_body();
        let bytes = read_request(body, PEER_MESSAGE_MAX_BYTES, PEER_BODY_TIMEOUT)
            .await
            .map_err(ServiceError::new)?;
        let answer = self.0.answer(&name, &bytes).await;
        let response = match answer {
            Ok(body) => Response::new(full_body(body)),
            Err(status) => {
                let mut response = Response::new(empty_body());
                *response.status_mut() = status;
                response
            }
        };
        Ok(response)
    }
}

fn decode<Q: DeserializeOwned>(bytes: &[u8]) -> Result<Q, StatusCode> {
    from_msgpack(bytes).map_err(|error| {
        log::warn!(target: "peers", "a peer sent a malformed message: {error}");
        StatusCode::BAD_REQUEST
    })
}

fn encode<A: Serialize>(answer: &A) -> Result<Bytes, StatusCode> {
    to_msgpack(answer).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Handles one call; the path of the request is its name.
    async fn answer(&self, name: &str, bytes: &[u8]) -> Result<Bytes, StatusCode> {
        let deadline = self.inner.clock.now() + HANDLER_TIMEOUT.min(PEER_TIMEOUT);
        match name {
            "handed" => {
                let message: DurableJob = decode(bytes)?;
                let leader = self.leading().ok_or(StatusCode::CONFLICT)?;
                leader.add_durable_job(message.job, message.spec, message.revision);
                let load = if message.has_load { None } else { leader.load_message() };
                encode(&Ack { refuse_for: leader.refusal_time(), load })
            }
            "load" => {
                let _: LoadQuery = decode(bytes)?;
                let leader = self.leading().ok_or(StatusCode::CONFLICT)?;
                encode(&LoadAnswer { load: leader.load_message() })
            }
            "cancelled" => {
                let message: DurableCancel = decode(bytes)?;
                let leader = self.leading().ok_or(StatusCode::CONFLICT)?;
                leader.apply_cancel(message.job);
                encode(&Ack::default())
            }
            "relay" => {
                let message: RelayRequest = decode(bytes)?;
                encode(&self.write_job(message.job, &message.spec, deadline).await)
            }
            "state" => {
                let message: JobQuery = decode(bytes)?;
                encode(&self.local_status(message.job).await)
            }
            "unsettled" => {
                let message: JobQuery = decode(bytes)?;
                encode(&UnresolvedAnswer { unresolved: self.may_be_durable(message.job) })
            }
            "cancel" => {
                let message: JobQuery = decode(bytes)?;
                encode(&self.write_cancel(message.job, deadline).await)
            }
            "pending" => {
                let message: CountQuery = decode(bytes)?;
                let pending = self.leading().and_then(|leader| leader.pending(&message.queue));
                encode(&CountAnswer { pending })
            }
            "content" => {
                let message: ConfigQuery = decode(bytes)?;
                encode(&self.newer_config(message.version))
            }
            "store" => {
                let query: StoreQuery = decode(bytes)?;
                encode(&self.answer_store_query(&query))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    /// Returns the configuration if it is newer than `version`, and the drained zones.
    fn newer_config(&self, version: u64) -> ConfigAnswer {
        let newer = self.config().is_some_and(|config| config.version > version);
        let drains = self.drain_answer();
        match lock(&self.inner.raw_config).clone().filter(|_| newer) {
            Some((key, value)) => ConfigAnswer { key, value: Some(value), drains },
            None => ConfigAnswer { key: SmolStr::default(), value: None, drains },
        }
    }
}
