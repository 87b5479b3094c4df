//! The table of receipts of one entry host.

mod takeover;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use slotmap::SlotMap;
use vg_base::prelude::*;

use super::spent::Spent;
use super::{
    Answer, BeginOutcome, KeyedRequest, Receipt, ReceiptKey, ReceiptLimits, ReceiptName,
    ReceiptState, RequestKey,
};

/// Attempts under one key that an entry host follows at once.
const ATTEMPTS_MAX: usize = 8;
/// Shortest time that a sender is told to wait for room.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// The receipts that one entry host keeps, as owner of pools or as the one
/// that forwarded the calls.
#[derive(Debug, Default)]
pub struct Receipts {
    bounds: ReceiptLimits,
    kept: SlotMap<ReceiptKey, Kept>,
    names: HashMap<ReceiptName, ReceiptKey>,
    /// Ended receipts by when they may be forgotten.
    ends: BTreeSet<(Instant, ReceiptKey)>,
    gaps: HashMap<PoolId, Instant>,
    losses: HashMap<Member, Instant>,
    spent: Spent,
    bytes: usize,
}

#[derive(Debug)]
struct Kept {
    receipt: Receipt,
    /// When it may be forgotten; a running one never.
    end: Option<Instant>,
    /// Deadline of the run, if it is this table's own.
    deadline: Option<Instant>,
    bytes: usize,
}

impl Receipts {
    /// Makes an empty table.
    pub fn new(bounds: ReceiptLimits) -> Receipts {
        Receipts { bounds, ..Receipts::default() }
    }

    /// Decides, as the pool's owner, whether a request may run.
    pub fn begin(&mut self, request: &KeyedRequest, now: Instant) -> BeginOutcome {
        self.expire(now);
        if self.spent.contains(request.attempt) {
            return BeginOutcome::DuplicateAttempt;
        }
        let begin = self.begin_first(request, now);
        if matches!(
            begin,
            BeginOutcome::InProgress
                | BeginOutcome::RequestMismatch
                | BeginOutcome::NoCapacity { .. }
        ) {
            self.spend(request.attempt, request.deadline);
        }
        begin
    }

    /// Ends a run that [`Receipts::begin`] allowed.
    ///
    /// `answer` is the whole answer if the outcome is *answered*. A run that is
    /// proved not to have happened gives its key up.
    pub fn finish(
        &mut self,
        key: ReceiptKey,
        outcome: Outcome,
        answer: Option<Answer>,
        now: Instant,
    ) {
        match outcome {
            Outcome::NotRun => {
                self.spend_attempts(key);
                self.remove_running(key);
            }
            Outcome::Answered => self.settle_as(key, self.state_of(answer), now),
            Outcome::Unknown => self.settle_as(key, ReceiptState::Unknown, now),
        }
    }

    /// Notes, as the entry host that a call came through, that the call is
    /// about to be forwarded. Returns false if there is no room for it, in
    /// which case it must not be.
    #[must_use]
    pub fn mirror(&mut self, request: &KeyedRequest, now: Instant) -> bool {
        self.expire(now);
        let Some(key) = self.names.get(&request.name).copied() else {
            return self.insert(Receipt::of_request(request), None, None).is_some();
        };
        let Some(kept) = self.kept.get_mut(key) else { return false };
        if kept.receipt.state != ReceiptState::Running {
            return true;
        }
        let attempts = &mut kept.receipt.attempts;
        if attempts.contains(&request.attempt) {
            return true;
        }
        let room = attempts.len() < ATTEMPTS_MAX;
        if room {
            attempts.push(request.attempt);
        }
        room
    }

    /// Takes in what the owner said of a forwarded attempt.
    pub fn resolve(
        &mut self,
        name: &ReceiptName,
        attempt: RequestId,
        outcome: Outcome,
        answer: Option<Answer>,
        now: Instant,
    ) {
        let Some(key) = self.names.get(name).copied() else { return };
        match outcome {
            Outcome::Answered => self.settle_as(key, self.state_of(answer), now),
            Outcome::Unknown => self.settle_as(key, ReceiptState::Unknown, now),
            Outcome::NotRun => {
                let Some(kept) = self.kept.get_mut(key) else { return };
                kept.receipt.attempts.retain(|each| *each != attempt);
                if kept.receipt.attempts.is_empty() {
                    self.remove_running(key);
                }
            }
        }
    }

    /// Forgets receipts whose retention is over.
    pub fn expire(&mut self, now: Instant) {
        while let Some(&(end, key)) = self.ends.first() {
            if end > now {
                break;
            }
            self.remove(key);
        }
        self.gaps.retain(|_, until| *until > now);
        let memory = self.bounds.gap_duration();
        self.losses.retain(|_, at| *at + memory > now);
        self.spent.expire(now);
    }

    /// Returns the number of receipts.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether there are no receipts.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how far the run of a key is known.
    pub fn state(&self, name: &ReceiptName) -> Option<&ReceiptState> {
        self.find(name).map(|kept| &kept.receipt.state)
    }

    fn begin_first(&mut self, request: &KeyedRequest, now: Instant) -> BeginOutcome {
        if let Some(kept) = self.find(&request.name) {
            // Also past the deadline: a doubled message of a call that runs must
            // not be answered as late, which would say that it never ran.
            return repeat(&kept.receipt, request);
        }
        if now > request.deadline {
            return BeginOutcome::DeadlinePassed;
        }
        if self.is_in_gap(request, now) {
            return BeginOutcome::Unknown;
        }
        match self.insert(Receipt::of_request(request), None, Some(request.deadline)) {
            Some(key) => BeginOutcome::Run(key),
            None => BeginOutcome::NoCapacity { retry_after: self.retry_after(now) },
        }
    }

    fn spend(&mut self, attempt: RequestId, deadline: Instant) {
        self.spent.insert(attempt, deadline, self.bounds.max_receipts);
    }

    fn spend_attempts(&mut self, key: ReceiptKey) {
        let Some(kept) = self.kept.get(key) else { return };
        let Some(deadline) = kept.deadline else { return };
        for attempt in kept.receipt.attempts.clone() {
            self.spend(attempt, deadline);
        }
    }

    fn find(&self, name: &ReceiptName) -> Option<&Kept> {
        self.names.get(name).and_then(|key| self.kept.get(*key))
    }

    fn is_running(&self, key: ReceiptKey) -> bool {
        let state = self.kept.get(key).map(|kept| &kept.receipt.state);
        state == Some(&ReceiptState::Running)
    }

    fn is_in_gap(&self, request: &KeyedRequest, now: Instant) -> bool {
        // A request without a key can't be a repeat.
        let keyed = matches!(request.name.key, RequestKey::Caller(_));
        let until = self.gaps.get(&request.pool);
        keyed && !request.idempotent && until.is_some_and(|until| *until > now)
    }

    /// An answer that is missing or too long is remembered as *unknown*.
    fn state_of(&self, answer: Option<Answer>) -> ReceiptState {
        match answer {
            Some(answer) if answer.bytes() <= self.bounds.answer_bytes => {
                ReceiptState::Answered(Arc::new(answer))
            }
            _ => ReceiptState::Unknown,
        }
    }

    fn insert(
        &mut self,
        receipt: Receipt,
        end: Option<Instant>,
        deadline: Option<Instant>,
    ) -> Option<ReceiptKey> {
        let bytes = receipt.bytes();
        if self.kept.len() >= self.bounds.max_receipts || self.bytes + bytes > self.bounds.max_bytes
        {
            return None;
        }
        self.bytes += bytes;
        let name = receipt.name.clone();
        let key = self.kept.insert(Kept { receipt, end, deadline, bytes });
        self.names.insert(name, key);
        if let Some(end) = end {
            self.ends.insert((end, key));
        }
        Some(key)
    }

    fn settle_as(&mut self, key: ReceiptKey, state: ReceiptState, now: Instant) {
        let Some(kept) = self.kept.get_mut(key) else { return };
        if state.rank() <= kept.receipt.state.rank() {
            return;
        }
        let before = kept.bytes;
        kept.receipt.state = state;
        let bytes = kept.receipt.bytes();
        if self.bytes - before + bytes > self.bounds.max_bytes {
            // No room for the answer: the receipt stays, without it.
            kept.receipt.state = ReceiptState::Unknown;
        }
        kept.bytes = kept.receipt.bytes();
        self.bytes = self.bytes - before + kept.bytes;
        kept.receipt.attempts.clear();
        if let Some(end) = kept.end.replace(now + self.bounds.retention) {
            self.ends.remove(&(end, key));
        }
        self.ends.insert((now + self.bounds.retention, key));
    }

    fn remove_running(&mut self, key: ReceiptKey) {
        if self.is_running(key) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: ReceiptKey) {
        let Some(kept) = self.kept.remove(key) else { return };
        self.bytes -= kept.bytes;
        self.names.remove(&kept.receipt.name);
        if let Some(end) = kept.end {
            self.ends.remove(&(end, key));
        }
    }

    fn retry_after(&self, now: Instant) -> Duration {
        let first = self.ends.first().map(|(end, _)| end.saturating_duration_since(now));
        first.unwrap_or(RETRY_MIN).max(RETRY_MIN)
    }
}

fn repeat(receipt: &Receipt, request: &KeyedRequest) -> BeginOutcome {
    if receipt.fingerprint != request.fingerprint {
        return BeginOutcome::RequestMismatch;
    }
    match &receipt.state {
        ReceiptState::Running if receipt.attempts.contains(&request.attempt) => {
            BeginOutcome::DuplicateAttempt
        }
        ReceiptState::Running => BeginOutcome::InProgress,
        ReceiptState::Answered(answer) => BeginOutcome::Replay(Arc::clone(answer)),
        ReceiptState::Unknown => BeginOutcome::Unknown,
    }
}
