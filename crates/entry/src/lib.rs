//! The entry host: HTTP interfaces, shared tables and background tasks of one node.
//!
//! Callers and other entry hosts reach a node at separate addresses. All decisions are
//! made in the decision crates; this crate carries messages and calls between them, the
//! network and the store.
//!
//! # Lock order
//!
//! No lock is held across an await. Where two locks are held, they are taken in this
//! order:
//!
//! 1. the table of owned pools (`pools`),
//! 2. the dispatch table (`dispatch`) or the jobs (`jobs`) of one pool,
//! 3. the membership (`membership`), which includes the authority and the permits.
//!
//! The lists, the host list, the receipts, the events and the epoch of the cluster state
//! are locked alone or last.

mod admit;
mod call;
mod config;
mod control;
mod dispatch;
mod follow;
mod forward;
mod handle;
mod headers;
mod hosts;
mod ingress;
mod jobs;
mod membership;
mod metrics;
mod node;
mod options;
mod peer_link;
mod pipe;
mod platform;
mod pools;
mod problem;
mod receipts;
mod relay;
mod web;

pub use admit::{Admission, AdmitError, admit_digest};
pub use call::Call;
pub use config::{ActiveConfig, ConfigError, ConfigTable, OfferOutcome};
pub use handle::{NodeHandle, StartError};
pub use hosts::{Host, HostKind, HostList, HostState, HostTable};
pub use jobs::JobTable;
pub use membership::{Peer, PermitGuard, PoolOwner, SharedMembership};
pub use metrics::{Direction, Metrics};
pub use node::{Node, NodeInner, NodeState};
pub use options::Options;
pub use platform::{Platform, SystemPlatform};
pub use pools::PoolTable;
pub use problem::{PROBLEM_TYPE, Problem, ProblemCode};
pub use receipts::ReceiptTable;
