//! An HTTP server and client based on `gotham` and `hyper-util`.
//!
//! `gotham` routes and handles requests. Its own accept loop has no graceful
//! shutdown and no limits, so [`Server`] drives the connections and passes each
//! request to `gotham` through the public function `call_handler`.

mod body;
mod budget;
mod client;
mod codec;
mod descriptors;
mod error;
mod gate;
mod limits;
mod response;
mod server;
mod stream;

pub use body::{Body, empty_body, full_body, read_body, read_request, stream_body};
pub use budget::{Budget, Usage};
pub use client::{Client, Reply};
pub use codec::{from_msgpack, to_msgpack};
pub use descriptors::Descriptors;
pub use error::Error;
pub use gate::Gate;
pub use limits::Limits;
pub use server::{Server, ServerHandle, Service, ServiceError};
