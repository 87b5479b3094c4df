//! Calls of peers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_net::{Body, Service, ServiceError, empty, from_msgpack, full, read_all, to_msgpack};

use crate::host::lock;
use crate::messages::{
    Cancelled, ContentAnswer, ContentQuery, CountAnswer, CountQuery, Handed, Query, Relay,
    StoreAnswer, StoreQuery, Taken, UnsettledAnswer,
};
use crate::peers::{PEER_BYTES, PEER_LIMIT};
use crate::{Host, Platform};

/// Time that a peer's call may take here: the caller waits a little longer.
const OWN_LIMIT: Duration = Duration::from_millis(550);

/// Answers the calls of peers.
pub(crate) struct PeerService<P: Platform, C: Clock>(pub(crate) Host<P, C>);

impl<P: Platform, C: Clock> Service for PeerService<P, C> {
    async fn call(
        &self,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> Result<Response<Body>, ServiceError> {
        let name = request.uri().path().trim_start_matches('/').to_owned();
        let bytes = read_all(request.into_body(), PEER_BYTES).await.map_err(ServiceError::new)?;
        let answer = self.0.answer(&name, &bytes).await;
        let response = match answer {
            Ok(body) => Response::new(full(body)),
            Err(status) => {
                let mut response = Response::new(empty());
                *response.status_mut() = status;
                response
            }
        };
        Ok(response)
    }
}

fn decode<Q: DeserializeOwned>(bytes: &[u8]) -> Result<Q, StatusCode> {
    from_msgpack(bytes).map_err(|error| {
        log::warn!(target: "peers", "a peer's message can't be read: {error}");
        StatusCode::BAD_REQUEST
    })
}

fn encode<A: Serialize>(answer: &A) -> Result<Bytes, StatusCode> {
    to_msgpack(answer).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

impl<P: Platform, C: Clock> Host<P, C> {
    async fn answer(&self, name: &str, bytes: &[u8]) -> Result<Bytes, StatusCode> {
        let deadline = self.inner.clock.now() + OWN_LIMIT.min(PEER_LIMIT);
        match name {
            "handed" => {
                let message: Handed = decode(bytes)?;
                let leader = self.leading().ok_or(StatusCode::CONFLICT)?;
                leader.take_job(message.job, message.spec, message.revision);
                encode(&Taken {})
            }
            "cancelled" => {
                let message: Cancelled = decode(bytes)?;
                let leader = self.leading().ok_or(StatusCode::CONFLICT)?;
                leader.take_cancel(message.job);
                encode(&Taken {})
            }
            "relay" => {
                let message: Relay = decode(bytes)?;
                encode(&self.write_job(message.job, &message.spec, deadline).await)
            }
            "state" => {
                let message: Query = decode(bytes)?;
                encode(&self.own_state(message.job).await)
            }
            "unsettled" => {
                let message: Query = decode(bytes)?;
                encode(&UnsettledAnswer { unsettled: self.is_unsettled(message.job) })
            }
            "cancel" => {
                let message: Query = decode(bytes)?;
                encode(&self.write_cancel(message.job, deadline).await)
            }
            "pending" => {
                let message: CountQuery = decode(bytes)?;
                let pending = self.leading().and_then(|leader| leader.pending(&message.queue));
                encode(&CountAnswer { pending })
            }
            "content" => {
                let message: ContentQuery = decode(bytes)?;
                encode(&self.newer_content(message.version))
            }
            "store" => {
                let _: StoreQuery = decode(bytes)?;
                encode(&StoreAnswer { silent_for: self.store_silence() })
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn newer_content(&self, version: u64) -> ContentAnswer {
        let newer = self.content().is_some_and(|content| content.version > version);
        match lock(&self.inner.raw).clone().filter(|_| newer) {
            Some((key, value)) => ContentAnswer { key, value: Some(value) },
            None => ContentAnswer { key: SmolStr::default(), value: None },
        }
    }
}
