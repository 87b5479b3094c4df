//! The receipt table of one entry host.

mod takeover;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use slotmap::SlotMap;
use vg_base::prelude::*;

use super::rejected::RejectedAttempts;
use super::{
    Answer, BeginOutcome, KeyedRequest, Receipt, ReceiptKey, ReceiptLimits, ReceiptName,
    ReceiptState, RequestKey,
};

/// Largest number of unresolved attempts that the copy of a receipt tracks.
const ATTEMPTS_MAX: usize = 8;
/// Shortest time after which a sender is told to retry when the table is full.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// The receipts of one entry host, both of pools that it owns and of calls that it
/// forwarded to other owners.
#[derive(Debug, Default)]
pub struct Receipts {
    limits: ReceiptLimits,
    entries: SlotMap<ReceiptKey, ReceiptEntry>,
    keys_by_name: HashMap<ReceiptName, ReceiptKey>,
    /// Receipts of ended runs, by the time at which they expire.
    expirations: BTreeSet<(Instant, ReceiptKey)>,
    /// Pools with a gap, which is a time in which receipts of the pool may be
    /// missing, and the end of each gap. See [`Receipts::open_gap`].
    gaps: HashMap<PoolId, Instant>,
    /// Lost members, and when each was lost.
    losses: HashMap<Member, Instant>,
    rejected: RejectedAttempts,
    /// Memory used by all receipts, in bytes.
    bytes: usize,
}

/// A receipt, with when it expires and how much memory it is counted with.
#[derive(Debug)]
struct ReceiptEntry {
    receipt: Receipt,
    /// When the receipt expires, `None` while its run has not ended.
    expires_at: Option<Instant>,
    /// Deadline of the run, if [`Receipts::begin`] of this table allowed it.
    deadline: Option<Instant>,
    /// Memory that the receipt is counted with, in bytes.
    bytes: usize,
}

impl Receipts {
    /// Makes an empty table.
    pub fn new(limits: ReceiptLimits) -> Receipts {
        Receipts { limits, ..Receipts::default() }
    }

    /// Decides whether a request may run. Only the pool's owner calls this.
    pub fn begin(&mut self, request: &KeyedRequest, now: Instant) -> BeginOutcome {
        self.expire(now);
        if self.rejected.contains(request.attempt) {
            return BeginOutcome::DuplicateAttempt;
        }
        let begin = self.begin_attempt(request, now);
        if matches!(
            begin,
            BeginOutcome::InProgress
                | BeginOutcome::RequestMismatch
                | BeginOutcome::NoCapacity { .. }
        ) {
            self.record_rejected(request.attempt, request.deadline);
        }
        begin
    }

    /// Records the outcome of a run that [`Receipts::begin`] allowed.
    ///
    /// `answer` is the complete answer if the outcome is *answered*. If the call
    /// provably did not run, its receipt is removed, so that another attempt of
    /// the key may run.
    pub fn finish(
        &mut self,
        key: ReceiptKey,
        outcome: Outcome,
        answer: Option<Answer>,
        now: Instant,
    ) {
        match outcome {
            Outcome::NotRun => {
                self.reject_attempts(key);
                self.remove_running(key);
            }
            Outcome::Answered => self.advance_state(key, self.answered_state(answer), now),
            Outcome::Unknown => self.advance_state(key, ReceiptState::Unknown, now),
        }
    }

    /// Stores a copy of the receipt of a call that is about to be forwarded. The
    /// entry host that the call came through calls this.
    ///
    /// Returns false if the table is full or the copy tracks too many attempts. The
    /// call must not be forwarded then.
    #[must_use]
    pub fn mirror(&mut self, request: &KeyedRequest, now: Instant) -> bool {
        self.expire(now);
        let Some(key) = self.keys_by_name.get(&request.name).copied() else {
            return self.insert(Receipt::of_request(request), None, None).is_some();
        };
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if entry.receipt.state != ReceiptState::Running {
            return true;
        }
        let attempts = &mut entry.receipt.attempts;
        if attempts.contains(&request.attempt) {
            return true;
        }
        let has_capacity = attempts.len() < ATTEMPTS_MAX;
        if has_capacity {
            attempts.push(request.attempt);
        }
        has_capacity
    }

    /// Records the outcome that the owner reported for a forwarded attempt. The copy
    /// of the receipt is removed once all attempts are known not to have run.
    pub fn resolve(
        &mut self,
        name: &ReceiptName,
        attempt: RequestId,
        outcome: Outcome,
        answer: Option<Answer>,
        now: Instant,
    ) {
        let Some(key) = self.keys_by_name.get(name).copied() else { return };
        match outcome {
            Outcome::Answered => self.advance_state(key, self.answered_state(answer), now),
            Outcome::Unknown => self.advance_state(key, ReceiptState::Unknown, now),
            Outcome::NotRun => {
                let Some(entry) = self.entries.get_mut(key) else { return };
                entry.receipt.attempts.retain(|each| *each != attempt);
                if entry.receipt.attempts.is_empty() {
                    self.remove_running(key);
                }
            }
        }
    }

    /// Removes what has expired: receipts, gaps, losses and rejected attempts.
    pub fn expire(&mut self, now: Instant) {
        while let Some(&(end, key)) = self.expirations.first() {
            if end > now {
                break;
            }
            self.remove(key);
        }
        self.gaps.retain(|_, until| *until > now);
        let gap_duration = self.limits.gap_duration();
        self.losses.retain(|_, at| *at + gap_duration > now);
        self.rejected.expire(now);
    }

    /// Returns the number of receipts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no receipts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the state of the run of a key, `None` if the key has no receipt.
    pub fn state(&self, name: &ReceiptName) -> Option<&ReceiptState> {
        self.find(name).map(|entry| &entry.receipt.state)
    }

    /// Decides on an attempt that was not answered as *not run* before.
    fn begin_attempt(&mut self, request: &KeyedRequest, now: Instant) -> BeginOutcome {
        if let Some(entry) = self.find(&request.name) {
            // This comes before the check of the deadline: a duplicate message of a
            // running call must not be answered as late, which would mean that the
            // call never ran.
            return repeated_outcome(&entry.receipt, request);
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

    /// Records that an attempt was answered as *not run*.
    fn record_rejected(&mut self, attempt: RequestId, deadline: Instant) {
        self.rejected.insert(attempt, deadline, self.limits.max_receipts);
    }

    /// Records that all attempts of a receipt were answered as *not run*. Has no
    /// effect unless this table allowed the run.
    fn reject_attempts(&mut self, key: ReceiptKey) {
        let Some(entry) = self.entries.get(key) else { return };
        let Some(deadline) = entry.deadline else { return };
        for attempt in entry.receipt.attempts.clone() {
            self.record_rejected(attempt, deadline);
        }
    }

    fn find(&self, name: &ReceiptName) -> Option<&ReceiptEntry> {
        self.keys_by_name.get(name).and_then(|key| self.entries.get(*key))
    }

    /// Whether a receipt exists and its run has not ended.
    fn is_running(&self, key: ReceiptKey) -> bool {
        let state = self.entries.get(key).map(|entry| &entry.receipt.state);
        state == Some(&ReceiptState::Running)
    }

    /// Whether a request without a receipt may have run, since its receipt may be
    /// lost.
    fn is_in_gap(&self, request: &KeyedRequest, now: Instant) -> bool {
        // A request without an idempotency key is never a repeat.
        let keyed = matches!(request.name.key, RequestKey::Caller(_));
        let until = self.gaps.get(&request.pool);
        keyed && !request.idempotent && until.is_some_and(|until| *until > now)
    }

    /// Returns the state of an answered call. An answer that is missing or too large
    /// is recorded as *unknown*.
    fn answered_state(&self, answer: Option<Answer>) -> ReceiptState {
        match answer {
            Some(answer) if answer.bytes() <= self.limits.max_answer_bytes => {
                ReceiptState::Answered(Arc::new(answer))
            }
            _ => ReceiptState::Unknown,
        }
    }

    /// Adds a receipt, `None` if the table is full.
    fn insert(
        &mut self,
        receipt: Receipt,
        expires_at: Option<Instant>,
        deadline: Option<Instant>,
    ) -> Option<ReceiptKey> {
        let bytes = receipt.bytes();
        if self.entries.len() >= self.limits.max_receipts
            || self.bytes + bytes > self.limits.max_bytes
        {
            return None;
        }
        self.bytes += bytes;
        let name = receipt.name.clone();
        let key = self.entries.insert(ReceiptEntry { receipt, expires_at, deadline, bytes });
        self.keys_by_name.insert(name, key);
        if let Some(expires_at) = expires_at {
            self.expirations.insert((expires_at, key));
        }
        Some(key)
    }

    /// Changes a receipt to a state of higher rank, and starts its retention. Has no
    /// effect if the state is not of higher rank.
    fn advance_state(&mut self, key: ReceiptKey, state: ReceiptState, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if state.rank() <= entry.receipt.state.rank() {
            return;
        }
        let before = entry.bytes;
        entry.receipt.state = state;
        let bytes = entry.receipt.bytes();
        if self.bytes - before + bytes > self.limits.max_bytes {
            // The answer does not fit, so the receipt is kept without it.
            entry.receipt.state = ReceiptState::Unknown;
        }
        entry.bytes = entry.receipt.bytes();
        self.bytes = self.bytes - before + entry.bytes;
        entry.receipt.attempts.clear();
        if let Some(end) = entry.expires_at.replace(now + self.limits.retention) {
            self.expirations.remove(&(end, key));
        }
        self.expirations.insert((now + self.limits.retention, key));
    }

    /// Removes a receipt if its run has not ended.
    fn remove_running(&mut self, key: ReceiptKey) {
        if self.is_running(key) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: ReceiptKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.bytes -= entry.bytes;
        self.keys_by_name.remove(&entry.receipt.name);
        if let Some(end) = entry.expires_at {
            self.expirations.remove(&(end, key));
        }
    }

    /// Returns the time after which the next receipt expires, at least
    /// [`RETRY_AFTER_MIN`].
    fn retry_after(&self, now: Instant) -> Duration {
        let first = self.expirations.first().map(|(end, _)| end.saturating_duration_since(now));
        first.unwrap_or(RETRY_AFTER_MIN).max(RETRY_AFTER_MIN)
    }
}

/// Decides on a request whose key has a receipt.
fn repeated_outcome(receipt: &Receipt, request: &KeyedRequest) -> BeginOutcome {
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
