//! Runs a call from the scheduler's queue to its answer.

use std::sync::Arc;

use http::Response;
use rand::Rng;
use vg_base::prelude::*;
use vg_net::Body;
use vg_route::{RetryDecision, RetryRequest};
use vg_share::{Refusal, WorkItem};

use crate::call::Call;
use crate::dispatch::exchange::{self, Failure};
use crate::dispatch::waiting::Decision;
use crate::dispatch::{Grant, PoolDispatch};
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::receipts::{OpenOutcome, ReceiptGuard};

/// Delay after which a caller should retry while a pool changes its owner.
const OWNER_RETRY: Duration = Duration::from_millis(500);
/// Run time that a call is assumed to need.
const EXPECTED_RUN_TIME: Duration = Duration::from_millis(20);

/// Runs a call of a pool that this node owns.
///
/// # Errors
///
/// A [`Problem`] with the proven outcome.
pub(crate) async fn run<P: Platform>(
    node: &Node<P>,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let pool = node.pools.get(&call.pool).ok_or_else(pool_moved)?;
    let mut receipt = match node.receipts.open(node, &call).await? {
        OpenOutcome::Run(receipt) => receipt,
        OpenOutcome::Replay(response) => return Ok(*response),
    };
    let mut attempts = 0;
    loop {
        attempts += 1;
        let grant = await_grant(&pool, &call).await?;
        let failure = match exchange::run(node, &call, grant, receipt).await {
            Ok(response) => {
                pool.record_success();
                return Ok(response);
            }
            Err(failure) => failure,
        };
        receipt = retry(&pool, &call, failure, attempts).await?;
    }
}

/// Waits for the call's turn, slot and permit.
async fn await_grant<C: Clock>(
    pool: &Arc<PoolDispatch<C>>,
    call: &Call,
) -> Result<Grant<C>, Problem> {
    let item = WorkItem {
        queue: call.queue.clone(),
        team: call.team.clone(),
        class: call.class,
        deadline: call.deadline,
        expected: EXPECTED_RUN_TIME,
    };
    let mut waiting =
        pool.enqueue(item).map_err(|refusal| refusal.map_or_else(pool_moved, refusal_problem))?;
    match waiting.decision().await {
        Decision::Start(grant) => Ok(grant),
        Decision::Refused(refusal) => Err(refusal_problem(refusal)),
        Decision::Moved => Err(pool_moved()),
    }
}

/// Decides whether to make another attempt. Returns the receipt for it after the retry
/// delay.
async fn retry<C: Clock>(
    pool: &Arc<PoolDispatch<C>>,
    call: &Call,
    failure: Failure<C>,
    attempts: u32,
) -> Result<Option<Box<ReceiptGuard<C>>>, Problem> {
    // If a keyed call may have run, its receipt has ended with an unknown outcome. Repeats
    // of the key are answered as unknown, and the work is not run again under the same key.
    let receipt_ended = call.key.is_some() && failure.receipt.is_none();
    let withdrawn = failure.problem.code == ProblemCode::UnknownKey;
    if receipt_ended || withdrawn {
        return Err(failure.problem);
    }
    let request = RetryRequest {
        outcome: failure.problem.outcome,
        idempotent: call.idempotent,
        attempts,
        deadline: call.deadline,
        typical_run: EXPECTED_RUN_TIME,
        jitter: rand::rng().random(),
    };
    match pool.decide_retry(&request) {
        RetryDecision::After(delay) => {
            tokio::time::sleep(delay).await;
            Ok(failure.receipt)
        }
        RetryDecision::Forbidden
        | RetryDecision::AttemptsExhausted
        | RetryDecision::TooLate
        | RetryDecision::BudgetExhausted => Err(failure.problem),
    }
}

/// Returns the problem for a call whose pool is moving to another entry host.
fn pool_moved() -> Problem {
    let detail = "the pool is moving to another entry host";
    Problem::not_run(ProblemCode::NoOwner, detail).retry_after(OWNER_RETRY)
}

/// Converts a refusal of the scheduler to a problem.
fn refusal_problem(refusal: Refusal) -> Problem {
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
