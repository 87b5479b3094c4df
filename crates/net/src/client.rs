//! An HTTP client with a connection pool.

mod connector;
mod silence;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::Authority;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
// The clock of the runtime, by which the pool closes unused connections.
use tokio::time::Instant;

use self::connector::{Connector, Opened, Sequence};
use self::silence::{Call, Silence};
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

/// The connections that wait for another request, by address.
type Connections = Pool<Connector, Body>;

/// An HTTP/1.1 client. Clones share the connections.
///
/// A call that is not answered in time says that the connections to its address are silent,
/// unless another one that was open when it was sent has brought an answer since. Those that
/// wait for another request are not used again then.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    connector: Connector,
    sequence: Sequence,
    idle_timeout: Duration,
    shared: Connections,
    silence: Silence<Connections>,
}

impl Inner {
    /// Registers a call that is sent now.
    fn begin(&self, to: Authority) -> Call<Connections> {
        self.silence.begin(to, self.sequence.next())
    }

    /// Leaves the unused connections behind if a call that was not answered in time tells
    /// that they are silent. Returns whether it does.
    fn leave_unused(&self, call: &Call<Connections>) -> bool {
        let new_pool = || new_pool(&self.connector, self.idle_timeout);
        call.unanswered(new_pool, Instant::now(), self.idle_timeout)
    }
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
        let sequence = Sequence::default();
        let connector = Connector::new(connect_timeout, sequence.clone());
        let shared = new_pool(&connector, idle_timeout);
        let silence = Silence::default();
        Client { inner: Arc::new(Inner { connector, sequence, idle_timeout, shared, silence }) }
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
        let authority = request.uri().authority().cloned();
        let to = authority.as_ref().map(Authority::to_string).unwrap_or_default();
        let call = authority.map(|to| self.inner.begin(to));
        let pool = call.as_ref().and_then(|call| call.replacement(Instant::now()));
        let pool = pool.unwrap_or_else(|| self.inner.shared.clone());
        match tokio::time::timeout(limit, pool.request(request)).await {
            Ok(Ok(response)) => {
                let opened = response.extensions().get::<Opened>();
                if let Some((call, &opened)) = call.zip(opened) {
                    call.answered(opened);
                }
                Ok(response)
            }
            Ok(Err(source)) if source.is_connect() => Err(Error::Connect { to, source }),
            Ok(Err(source)) => Err(Error::IncompleteExchange { to, source }),
            Err(_) => {
                if call.is_some_and(|call| self.inner.leave_unused(&call)) {
                    log::debug!(target: "net", "unused connections to {to} are not used again");
                }
                Err(Error::Timeout { to, limit })
            }
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
        let deadline = Instant::now() + limit;
        let response = self.send(request, limit).await?;
        let (head, body) = response.into_parts();
        match tokio::time::timeout_at(deadline, read_body(body, max_bytes)).await {
            Ok(body) => Ok(Reply { status: head.status, headers: head.headers, body: body? }),
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

fn new_pool(connector: &Connector, idle_timeout: Duration) -> Connections {
    Pool::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        .build(connector.clone())
}
