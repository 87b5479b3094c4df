//! Membership of entry hosts and the messages between them.
//!
//! One value in the store, the [`ClusterState`], holds the members, the owners of the
//! pools and the grants of permits. It changes only by compare-and-swap, one
//! [`Transition`] after the other. A [`Membership`] is the state machine of one
//! member: its view of the peers ([`View`]), whether it may act on its rights
//! ([`Authority`]), and its permits ([`vg_limit::MemberPermits`]). This crate does no I/O
//! and has no clock: the caller passes in the time, the messages and the cluster
//! state, and carries out the transitions and messages that are returned.

mod authority;
mod cluster_state;
mod error;
pub mod faults;
mod heartbeat;
mod link;
mod member_record;
mod membership;
mod ownership;
mod refusal;
mod rendezvous;
mod status_report;
mod timing;
mod transition;
mod view;

pub use authority::Authority;
pub use cluster_state::ClusterState;
pub use error::ClusterStateError;
pub use heartbeat::Heartbeat;
pub use member_record::{MemberRecord, MemberState};
pub use membership::{HeartbeatOutcome, Membership, StartRefusal};
pub use ownership::Ownership;
pub use refusal::AuthorityRefusal;
pub use rendezvous::choose_owner;
pub use status_report::StatusReport;
pub use timing::{Timing, TimingError};
pub use transition::{Transition, VoterChange};
pub use view::{Health, View};
