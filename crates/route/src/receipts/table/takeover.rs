//! Transfers of receipts when members are lost or pools get another owner.

use vg_base::prelude::*;

use super::Receipts;
use crate::receipts::{MemberLoss, Receipt, ReceiptKey, ReceiptState};

/// Number of lost members at which a receipt may be lost, since each receipt is held
/// by two members.
const GAP_MIN_LOSSES: usize = 2;

impl Receipts {
    /// Returns the receipts of a pool that have not expired, for the next owner.
    pub fn export(&self, pool: &PoolId, now: Instant) -> Vec<Receipt> {
        let entries = self.entries.values().filter(|entry| entry.receipt.pool == *pool);
        let entries =
            entries.filter(|entry| entry.expires_at.is_none_or(|expires_at| expires_at > now));
        entries.map(|entry| entry.receipt.clone()).collect()
    }

    /// Adds receipts that another member exported. An imported receipt whose run has
    /// not ended becomes *unknown*. A running receipt of this table is only replaced
    /// by an answer: this member allowed or forwarded the call itself, so it may
    /// still learn the outcome.
    ///
    /// Returns the number of receipts that did not fit. If there are any, the caller
    /// must open a gap, see [`Receipts::open_gap`].
    pub fn import(&mut self, receipts: Vec<Receipt>, now: Instant) -> usize {
        self.expire(now);
        let mut dropped = 0;
        for mut receipt in receipts {
            if receipt.state == ReceiptState::Running {
                receipt.state = ReceiptState::Unknown;
            }
            match self.keys_by_name.get(&receipt.name).copied() {
                Some(key) if self.is_running(key) && receipt.state == ReceiptState::Unknown => {}
                Some(key) => self.advance_state(key, receipt.state, now),
                None => {
                    let expires_at = now + self.limits.retention;
                    dropped += usize::from(self.insert(receipt, Some(expires_at), None).is_none());
                }
            }
        }
        dropped
    }

    /// Records that a member was lost together with the receipts that it held.
    pub fn record_loss(&mut self, member: Member, now: Instant) {
        self.losses.entry(member).or_insert(now);
    }

    /// Returns the recorded losses, to send them to another member.
    pub fn losses(&self, now: Instant) -> Vec<MemberLoss> {
        let losses = self.losses.iter();
        losses
            .map(|(member, at)| MemberLoss {
                member: member.clone(),
                elapsed: now.saturating_duration_since(*at),
            })
            .collect()
    }

    /// Records the losses that another member knows of.
    pub fn import_losses(&mut self, losses: Vec<MemberLoss>, now: Instant) {
        for loss in losses {
            let at = now.checked_sub(loss.elapsed).unwrap_or(now);
            self.losses.entry(loss.member).or_insert(at);
        }
    }

    /// Takes a pool over from an earlier owner. The caller also imports the pool's
    /// receipts from all live members, before or after this call.
    ///
    /// Running receipts of the pool become *unknown*. Returns whether a gap was
    /// opened because at least two members are recorded as lost, which together may
    /// have held both copies of a receipt.
    pub fn take_over(&mut self, pool: &PoolId, now: Instant) -> bool {
        self.expire(now);
        self.mark_unknown(pool, now);
        let gap = self.losses.len() >= GAP_MIN_LOSSES;
        if gap {
            self.open_gap(pool.clone(), now);
        }
        gap
    }

    /// Opens a gap in a pool: for as long as a lost receipt can matter, requests that
    /// are not idempotent and whose keys have no receipt are answered as *unknown*,
    /// because the members that knew of their runs may be lost.
    pub fn open_gap(&mut self, pool: PoolId, now: Instant) {
        self.gaps.insert(pool, now + self.limits.gap_duration());
    }

    /// Makes the running receipts of a pool *unknown*, because the earlier owner may
    /// never report how the runs ended.
    fn mark_unknown(&mut self, pool: &PoolId, now: Instant) {
        let running = self.entries.iter().filter(|(_, entry)| {
            entry.receipt.pool == *pool && entry.receipt.state == ReceiptState::Running
        });
        let keys: Vec<ReceiptKey> = running.map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.advance_state(key, ReceiptState::Unknown, now));
    }
}
