//! A client with pooled connections.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{Body, full_body, read_body};
use crate::codec::{from_msgpack, to_msgpack};
use crate::error::Error;

/// A response whose body has been read to its end.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A cloneable HTTP/1.1 client; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Body>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(Duration::from_secs(1), Duration::from_secs(20))
    }
}

impl Client {
    /// Makes a client with a limit on connecting and on how long an unused
    /// connection is kept. Keep the latter below the server's idle time.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and returns as soon as the response's head is there.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] proves that nothing was written; after
    /// [`Error::IncompleteExchange`] and [`Error::Timeout`] the request may have run.
    pub async fn send(
        &self,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let to = request.uri().authority().map(|each| each.to_string()).unwrap_or_default();
        match tokio::time::timeout(limit, self.pool.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(source)) if source.is_connect() => Err(Error::Connect { to, source }),
            Ok(Err(source)) => Err(Error::IncompleteExchange { to, source }),
            Err(_) => Err(Error::Timeout { to, limit }),
        }
    }

    /// Sends a request and reads its whole answer of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and those of [`read_body`].
    pub async fn call(
        &self,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Reply, Error> {
        let to = request.uri().authority().map(|each| each.to_string()).unwrap_or_default();
        let whole = async {
            let response = self.send(request, limit).await?;
            let (head, body) = response.into_parts();
            let body = read_body(body, max_bytes).await?;
            Ok(Reply { status: head.status, headers: head.headers, body })
        };
        match tokio::time::timeout(limit, whole).await {
            Ok(reply) => reply,
            Err(_) => Err(Error::Timeout { to, limit }),
        }
    }

    /// Posts a MessagePack message to a URL and decodes the answer.
    ///
    /// # Errors
    ///
    /// As [`Client::call`]; [`Error::Status`] for an answer that is no
    /// success; [`Error::Decode`] for a malformed one.
    pub async fn post_msgpack<Q: Serialize, A: DeserializeOwned>(
        &self,
        url: &str,
        message: &Q,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<A, Error> {
        let request = Request::post(url)
            .header(http::header::CONTENT_TYPE, "application/msgpack")
            .body(full_body(to_msgpack(message)?))
            .map_err(|source| Error::Request { source })?;
        let reply = self.call(request, limit, max_bytes).await?;
        if !reply.status.is_success() {
            return Err(Error::Status { to: url.to_owned(), status: reply.status.as_u16() });
        }
        from_msgpack(&reply.body)
    }
}
