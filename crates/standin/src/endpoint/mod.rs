//! Stand-in for an endpoint, the host that executes requests.

mod body;
mod counts;
mod faults;
mod handlers;
mod mode;
mod server;
mod settings;
mod slots;
mod state;
mod streams;

pub use counts::EndpointCounts;
pub use faults::{EndpointFaults, EndpointFaultsRequest};
pub use mode::EndpointMode;
pub use server::Endpoint;
pub use settings::EndpointSettings;
