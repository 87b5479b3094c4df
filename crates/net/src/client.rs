//! An HTTP client with a connection pool.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{Body, full_body, read_body, read_flowing_body};
use crate::codec::{from_msgpack, to_msgpack};
use crate::error::Error;

/// A response with its complete body, as returned by [`Client::call`].
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// An HTTP/1.1 client. Clones share the connections.
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
    /// Creates a client.
    ///
    /// A connection that is not established within `connect_timeout` fails, and a
    /// connection that is unused for `idle_timeout` is closed. `idle_timeout` must
    /// be shorter than the idle timeout of the server.
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

    /// Sends a request and returns when the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// - [`Error::Connect`] if no connection was established; no byte of the
    ///   request was written.
    /// - [`Error::IncompleteExchange`] and [`Error::Timeout`] if no response
    ///   arrived, after `limit` at the latest; the request may have run.
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

    /// Sends a request and reads the complete response, whose body may have at
    /// most `max_bytes` bytes. `limit` applies to the whole exchange.
    ///
    /// # Errors
    ///
    /// The errors of [`Client::send`] and [`read_body`].
    pub async fn call(
        &self,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Reply, Error> {
        let to = request.uri().authority().map(|each| each.to_string()).unwrap_or_default();
        let exchange = async {
            let response = self.send(request, limit).await?;
            let (head, body) = response.into_parts();
            let body = read_body(body, max_bytes).await?;
            Ok(Reply { status: head.status, headers: head.headers, body })
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(Error::Timeout { to, limit }),
        }
    }

    /// Sends a request and reads the complete response. The exchange may take as
    /// long as its bytes keep arriving: `stall` limits the time until the head and
    /// the time between two pieces of the body, so that a large response over a slow
    /// link is not given up.
    ///
    /// # Errors
    ///
    /// The errors of [`Client::call`].
    pub async fn call_flowing(
        &self,
        request: Request<Body>,
        stall: Duration,
        max_bytes: usize,
    ) -> Result<Reply, Error> {
        let to = request.uri().authority().map(|each| each.to_string()).unwrap_or_default();
        let response = self.send(request, stall).await?;
        let (head, body) = response.into_parts();
        match read_flowing_body(body, max_bytes, stall).await? {
            Some(body) => Ok(Reply { status: head.status, headers: head.headers, body }),
            None => Err(Error::Timeout { to, limit: stall }),
        }
    }

    /// Posts a message to a URL and decodes the response. Both are encoded as
    /// MessagePack.
    ///
    /// # Errors
    ///
    /// The errors of [`Client::call`], [`Error::Status`] if the status of the
    /// response is not a success, and [`Error::Decode`] if the message can't be
    /// encoded or the response can't be decoded. [`Error::Request`] if `url` is
    /// malformed.
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
