//! Membership of entry hosts and the messages between them.
//!
//! One value in the store, the [`Book`], holds the members, the owners of the
//! pools and the grants of units. It changes only by compare-and-swap, one
//! [`Transition`] after the other. A [`Node`] is one member's part: what it
//! knows of its peers ([`View`]), whether it may act on its rights
//! ([`Standing`]) and its units ([`vg_limit::MemberPermits`]). Nothing here does I/O
//! or has a clock: the caller hands in times, messages and books, and carries
//! out what comes back.

mod book;
mod error;
pub mod faults;
mod heartbeat;
mod link;
mod member_record;
mod node;
mod ownership;
mod refusal;
mod rendezvous;
mod standing;
mod statement;
mod timing;
mod transition;
mod view;

pub use book::Book;
pub use error::BookError;
pub use heartbeat::Heartbeat;
pub use member_record::{MemberRecord, MemberState};
pub use node::{Node, Received, StartRefusal};
pub use ownership::Ownership;
pub use refusal::StandingRefusal;
pub use rendezvous::choose_owner;
pub use standing::Standing;
pub use statement::Statement;
pub use timing::{Timing, TimingError};
pub use transition::{Transition, VoterStep};
pub use view::{Health, View};
