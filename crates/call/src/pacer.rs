//! Spreads the retries of many callers over time.

use vg_base::prelude::*;

use crate::RetryTokens;

/// Retries of calls to one callee, for all callers of this process together.
///
/// While most calls succeed, each is repeated after its own delay. When the tokens are used
/// up, retries take turns at a fixed rate, so that the load that they add does not grow with
/// the number of callers that wait.
#[derive(Debug)]
pub struct RetryPacer {
    tokens: RetryTokens,
    /// Time between two retries without a token.
    spacing: Duration,
    /// The next turn.
    next: Option<Instant>,
}

impl RetryPacer {
    /// Creates a pacer with a few tokens.
    pub fn new(spacing: Duration) -> RetryPacer {
        RetryPacer { tokens: RetryTokens::default(), spacing, next: None }
    }

    /// Records an answered call, which adds to the tokens.
    pub fn record_success(&mut self, now: Instant) {
        self.tokens.record_success(now);
    }

    /// Returns when a call that failed may be repeated, after `delay` at the earliest. `None`
    /// if that is not before `deadline`.
    pub fn next_retry(
        &mut self,
        delay: Duration,
        deadline: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let earliest = now + delay;
        if earliest >= deadline {
            return None;
        }
        if self.tokens.take(now) {
            return Some(earliest);
        }
        let turn = self.next.map_or(earliest, |next| next.max(earliest));
        if turn >= deadline {
            return None;
        }
        self.next = Some(turn + self.spacing);
        Some(turn)
    }
}
