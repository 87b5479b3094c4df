//! Stand-in of an endpoint instance.

mod answer;
mod counts;
mod faults;
mod mode;
mod serve;
mod server;
mod settings;
mod slots;
mod state;
mod work;

pub use counts::EndpointCounts;
pub use faults::{EndpointFaults, EndpointFaultsRequest};
pub use mode::EndpointMode;
pub use server::Endpoint;
pub use settings::EndpointSettings;
