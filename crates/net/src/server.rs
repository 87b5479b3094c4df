//! An HTTP server on one TCP address, with limits and a graceful shutdown.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use snafu::ResultExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Body;
use crate::body::full_body;
use crate::budget::{Budget, Connection};
use crate::error::{BindSnafu, Error};
use crate::gate::Gate;
use crate::limits::Limits;
use crate::response::counted;
use crate::stream::Stream;

/// The complete response to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-type: application/problem+json\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 70\r\n\r\n\
    {\"status\":503,\"code\":\"too-many-connections\",\"outcome\":\"not-run\"      }";

/// The body of the response to a request whose connection gives way.
const OVERLOADED: &str = r#"{"status":503,"code":"overloaded","outcome":"not-run"}"#;

/// A server that is bound to an address and does not serve requests yet.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    addr: SocketAddr,
    limits: Limits,
    gate: Gate,
    budget: Budget,
}

impl Server {
    /// Binds `addr`. Port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the port is in use or not permitted.
    pub async fn bind(addr: SocketAddr, limits: Limits) -> Result<Server, Error> {
        let listener = TcpListener::bind(addr).await.context(BindSnafu { addr })?;
        let addr = listener.local_addr().context(BindSnafu { addr })?;
        Ok(Server { listener, addr, limits, gate: Gate::default(), budget: Budget::default() })
    }

    /// Returns the server with a gate. It serves new connections only while
    /// `gate` is open.
    #[must_use]
    pub fn with_gate(self, gate: Gate) -> Server {
        Server { gate, ..self }
    }

    /// Returns the server with a budget, which limits what the clients of all servers that
    /// have it hold together.
    #[must_use]
    pub fn with_budget(self, budget: Budget) -> Server {
        Server { budget, ..self }
    }

    /// Returns the bound address with the actual port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts serving requests with a `gotham` handler, usually a router, in
    /// tasks of the current runtime.
    pub fn start<H: NewHandler + 'static>(self, handler: H) -> ServerHandle {
        self.serve(GothamService(Arc::new(handler)))
    }

    /// Starts serving requests with `service`, without a `gotham` router, in tasks
    /// of the current runtime.
    pub fn serve<S: Service>(self, service: S) -> ServerHandle {
        let (stop, stopped) = watch::channel(false);
        let addr = self.addr;
        let task = tokio::spawn(accept_loop(self, Arc::new(service), stopped));
        ServerHandle { addr, stop, task }
    }
}

/// A service that answers requests without a `gotham` router, for servers whose
/// request paths are not known in advance.
pub trait Service: Send + Sync + 'static {
    /// Answers one request from the address `client`. An error closes the
    /// connection without a response.
    fn call(
        &self,
        request: Request<Incoming>,
        client: SocketAddr,
    ) -> impl Future<Output = Result<Response<Body>, ServiceError>> + Send;
}

/// The reason why a service gives no response.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("no answer: {reason}"))]
pub struct ServiceError {
    reason: String,
}

impl ServiceError {
    /// Creates an error from its cause.
    pub fn new(cause: impl std::fmt::Display) -> ServiceError {
        ServiceError { reason: cause.to_string() }
    }
}

/// A [`Service`] that calls a `gotham` handler.
struct GothamService<H>(Arc<H>);

impl<H: NewHandler + 'static> Service for GothamService<H> {
    async fn call(
        &self,
        request: Request<Incoming>,
        client: SocketAddr,
    ) -> Result<Response<Body>, ServiceError> {
        let state = State::from_request(request, client);
        let answer = call_handler(Arc::clone(&self.0), AssertUnwindSafe(state)).await;
        answer.map_err(ServiceError::new)
    }
}

/// A running server. It runs until it is stopped or the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Returns the bound address with the actual port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, lets running requests finish and returns when
    /// the last connection is closed.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // The accept loop ends by itself. An error means that its task was
        // aborted, and an aborted task has no requests left to finish.
        let _ = (&mut self.task).await;
    }

    /// Breaks all connections immediately, as the end of a killed process does.
    pub fn abort(self) {
        self.task.abort();
    }

    /// Breaks all connections and returns when the address can be bound again.
    pub async fn kill(mut self) {
        self.task.abort();
        // An aborted task always ends with an error.
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop<S: Service>(
    server: Server,
    service: Arc<S>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let listener = server.budget.add_listener();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = server.listener.accept() => accepted,
            _ = stopped.wait_for(|&stop| stop) => break,
            Some(_) = connections.join_next() => continue,
        };
        let (socket, client) = match accepted {
            Ok(pair) => pair,
            // Usually the process has no free file descriptors. Some become free when
            // connections close, so the loop waits before it tries again.
            Err(_) => {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        if server.gate.is_closed() {
            continue;
        }
        let evicted = server.budget.usage().evicted;
        let Ok(connection) = server.budget.admit(listener, server.limits) else {
            connections.spawn(reject_connection(socket));
            continue;
        };
        // Without this option a small response waits for the client's delayed
        // acknowledgement (Nagle's algorithm).
        let _ = socket.set_nodelay(true);
        let watcher = graceful.watcher();
        connections.spawn(serve_connection(
            socket,
            client,
            Arc::clone(&service),
            connection,
            watcher,
        ));
        if server.budget.usage().evicted != evicted {
            // The connections that give way are closed before the next one is accepted.
            tokio::task::yield_now().await;
        }
    }
    drop(server.listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}

async fn reject_connection(mut socket: TcpStream) {
    // The connection is closed in any case, so a failed write does not matter.
    let _ = socket.write_all(TOO_MANY_CONNECTIONS).await;
    let _ = socket.shutdown().await;
}

async fn serve_connection<S: Service>(
    socket: TcpStream,
    client: SocketAddr,
    service: Arc<S>,
    connection: Connection,
    watcher: hyper_util::server::graceful::Watcher,
) {
    let limits = connection.limits();
    let stream = Stream::new(socket, connection.clone(), limits.write_stall);
    let answer = service_fn(|request| serve_request(&*service, request, client, &connection));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .max_headers(limits.max_headers)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::select! {
        biased;
        () = connection.closed() => {}
        // An error of the connection affects only its client. The handler has already
        // recorded the outcome of the request.
        _ = connection.scope(watcher.watch(served)) => {}
    }
}

/// Answers one request, unless its connection gives way.
async fn serve_request<S: Service>(
    service: &S,
    request: Request<Incoming>,
    client: SocketAddr,
    connection: &Connection,
) -> Result<Response<Body>, ServiceError> {
    let mut response = if connection.begin() {
        service.call(request, client).await?
    } else {
        overloaded_response()
    };
    if connection.is_evicted() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let bytes = response.body().size_hint().exact().unwrap_or_default();
    connection.respond(usize::try_from(bytes).unwrap_or(usize::MAX));
    Ok(response.map(|body| counted(body, connection.clone())))
}

fn overloaded_response() -> Response<Body> {
    let mut response = Response::new(full_body(OVERLOADED));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let fields = response.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    fields.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
