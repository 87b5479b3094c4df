//! Accepts jobs, makes them durable, places them on workers and answers queries about
//! them.
//!
//! The owner of a pool keeps its jobs in a [`vg_jobs::Shard`], which makes the decisions.
//! The pool's controller executes what the shard requests: it commits batches to the store,
//! renews the workers' leases and sends them tasks.

mod controller;
mod ids;
mod message;
mod permits;
mod pool;
mod recovery;
mod serve;
mod table;
mod view;
mod worker;

pub(crate) use controller::run_controller;
pub(crate) use ids::{job_id, keyed_job_id, pool_of};
pub(crate) use message::{JobOperation, JobReply, JobRequest};
pub(crate) use permits::{PermitsHandover, hand_over_permits};
pub(crate) use pool::PoolJobs;
pub(crate) use serve::{serve, serve_as_owner, team_of_key};
pub use table::JobTable;
pub(crate) use view::JobView;
