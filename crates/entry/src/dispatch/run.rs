//! A call from its place in line to its answer.

use std::sync::Arc;

use http::Response;
use rand::Rng;
use vg_base::prelude::*;
use vg_net::Body;
use vg_route::{RetryDecision, RetryRequest};
use vg_share::{Refusal, WorkItem};

use crate::call::Call;
use crate::dispatch::exchange::{self, Failure};
use crate::dispatch::waiting::Verdict;
use crate::dispatch::{Grant, PoolDispatch};
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::receipts::{Opened, ReceiptGuard};

/// When to come back while a pool changes its owner.
const OWNER_RETRY: Duration = Duration::from_millis(500);
/// Run time that a call is taken to need before any was seen.
const EXPECTED: Duration = Duration::from_millis(20);

/// Runs a call of a pool that this node owns.
///
/// # Errors
///
/// A [`Problem`] with the proved outcome.
pub(crate) async fn run<P: Platform>(
    node: &Node<P>,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let pool = node.pools.get(&call.pool).ok_or_else(moved)?;
    let mut receipt = match node.receipts.open(node, &call).await? {
        Opened::Run(receipt) => receipt,
        Opened::Replay(response) => return Ok(*response),
    };
    let mut tries = 0;
    loop {
        tries += 1;
        let grant = wait(&pool, &call).await?;
        let failure = match exchange::run(node, &call, grant, receipt).await {
            Ok(response) => {
                pool.note_success();
                return Ok(response);
            }
            Err(failure) => failure,
        };
        receipt = retry(&pool, &call, failure, tries).await?;
    }
}

/// Waits for the call's turn, slot and unit.
async fn wait<C: Clock>(pool: &Arc<PoolDispatch<C>>, call: &Call) -> Result<Grant<C>, Problem> {
    let item = WorkItem {
        queue: call.queue.clone(),
        team: call.team.clone(),
        class: call.class,
        deadline: call.deadline,
        expected: EXPECTED,
    };
    let mut waiting = pool.offer(item).map_err(|refusal| refusal.map_or_else(moved, refused))?;
    match waiting.verdict().await {
        Verdict::Start(grant) => Ok(grant),
        Verdict::Refused(refusal) => Err(refused(refusal)),
        Verdict::Moved => Err(moved()),
    }
}

/// Decides on another try; returns the receipt that it may use.
async fn retry<C: Clock>(
    pool: &Arc<PoolDispatch<C>>,
    call: &Call,
    failure: Failure<C>,
    tries: u32,
) -> Result<Option<Box<ReceiptGuard<C>>>, Problem> {
    // An unknown outcome of keyed work ends its receipt: repeats are answered
    // as unknown, and the work is not run again under the same key.
    let spent = call.key.is_some() && failure.receipt.is_none();
    let withdrawn = failure.problem.code == ProblemCode::UnknownKey;
    if spent || withdrawn {
        return Err(failure.problem);
    }
    let request = RetryRequest {
        outcome: failure.problem.outcome,
        idempotent: call.idempotent,
        attempts: tries,
        deadline: call.deadline,
        typical_run: EXPECTED,
        jitter: rand::rng().random(),
    };
    match pool.ask_retry(&request) {
        RetryDecision::After(pause) => {
            tokio::time::sleep(pause).await;
            Ok(failure.receipt)
        }
        RetryDecision::Forbidden
        | RetryDecision::AttemptsExhausted
        | RetryDecision::TooLate
        | RetryDecision::BudgetExhausted => Err(failure.problem),
    }
}

fn moved() -> Problem {
    let detail = "the pool is moving to another entry host";
    Problem::not_run(ProblemCode::NoOwner, detail).retry_after(OWNER_RETRY)
}

fn refused(refusal: Refusal) -> Problem {
    let code = match refusal {
        Refusal::QueueFull { .. } => ProblemCode::QueueFull,
        Refusal::CannotMeetDeadline { .. } => ProblemCode::DeadlineUnreachable,
        Refusal::Stopping => ProblemCode::Stopping,
        Refusal::NotConfigured => ProblemCode::UnknownQueue,
    };
    let problem = Problem::not_run(code, refusal.to_string());
    match refusal.retry_after() {
        Some(wait) => problem.retry_after(wait),
        None => problem,
    }
}
