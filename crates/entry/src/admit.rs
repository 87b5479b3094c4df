//! Admission of work by its key, queue and plan.

use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::{Access, KeyDigest, Lists, Plan, Queue};

use crate::problem::{Problem, ProblemCode};

/// Why work is not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AdmitError {
    /// The queue needs a key.
    #[snafu(display("queue `{queue}` needs a key: send `Authorization: Bearer`"))]
    MissingKey {
        /// The queue.
        queue: QueueId,
    },
    /// The key belongs to no plan, or no longer does.
    #[snafu(display("the key is not in force"))]
    UnknownKey,
    /// No queue has this name.
    #[snafu(display("there is no queue of this name"))]
    UnknownQueue,
    /// The plan may not use the queue.
    #[snafu(display("team `{team}` may not use queue `{queue}`"))]
    NotPermitted {
        /// The team of the key.
        team: TeamId,
        /// The queue.
        queue: QueueId,
    },
}

impl From<AdmitError> for Problem {
    fn from(error: AdmitError) -> Problem {
        let code = match error {
            AdmitError::MissingKey { .. } => ProblemCode::MissingKey,
            AdmitError::UnknownKey => ProblemCode::UnknownKey,
            AdmitError::UnknownQueue => ProblemCode::UnknownQueue,
            AdmitError::NotPermitted { .. } => ProblemCode::NotPermitted,
        };
        Problem::not_run(code, error.to_string())
    }
}

/// The plan and queue of admitted work.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// The plan whose team the work counts against.
    pub plan: &'a Plan,
    /// The queue.
    pub queue: &'a Queue,
}

/// Admits work for a queue by the digest of the key that was sent with it.
///
/// A key that is not in force is refused on every queue, including the queues that are
/// open to all, because a withdrawn key must stop working everywhere.
///
/// # Errors
///
/// [`AdmitError`] for a missing or unknown key, an unknown queue, or a queue that the
/// key's plan may not use.
pub fn admit_digest<'a>(
    lists: &'a Lists,
    queue: &str,
    digest: Option<KeyDigest>,
) -> Result<Admission<'a>, AdmitError> {
    let plan = match digest {
        Some(digest) => Some(lists.plan_of_digest(&digest).ok_or(AdmitError::UnknownKey)?),
        None => None,
    };
    let id = queue.parse::<QueueId>().map_err(|_| AdmitError::UnknownQueue)?;
    let queue = lists.queues.get(&id).ok_or(AdmitError::UnknownQueue)?;
    let plan = match (&queue.access, plan) {
        (Access::Open { .. }, Some(plan)) => plan,
        (Access::Open { plan }, None) => lists.plans.get(plan).ok_or(AdmitError::UnknownQueue)?,
        (Access::Plans(_), None) => return Err(AdmitError::MissingKey { queue: id }),
        (Access::Plans(plans), Some(plan)) if plans.contains(&plan.id) => plan,
        (Access::Plans(_), Some(plan)) => {
            return Err(AdmitError::NotPermitted { team: plan.team.clone(), queue: id });
        }
    };
    Ok(Admission { plan, queue })
}
