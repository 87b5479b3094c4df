//! Receipts over losses of members and changes of owner.

use vg_base::prelude::*;

use super::Receipts;
use crate::receipts::{MemberLoss, Receipt, ReceiptKey, ReceiptState};

/// Lost members from which on a receipt can be lost: each stands at two.
const LOSSES_FOR_GAP: usize = 2;

impl Receipts {
    /// Returns the receipts of a pool, for its next owner.
    pub fn export(&self, pool: &PoolId, now: Instant) -> Vec<Receipt> {
        let kept = self.kept.values().filter(|kept| kept.receipt.pool == *pool);
        let kept = kept.filter(|kept| kept.end.is_none_or(|end| end > now));
        kept.map(|kept| kept.receipt.clone()).collect()
    }

    /// Takes in receipts after a change of owner. One whose run was not ended
    /// becomes *unknown*, unless the run is this table's own.
    ///
    /// Returns how many did not fit; a caller that sees any opens a gap.
    pub fn import(&mut self, receipts: Vec<Receipt>, now: Instant) -> usize {
        self.expire(now);
        let mut left = 0;
        for mut receipt in receipts {
            if receipt.state == ReceiptState::Running {
                receipt.state = ReceiptState::Unknown;
            }
            match self.names.get(&receipt.name).copied() {
                Some(key) if self.is_running(key) && receipt.state == ReceiptState::Unknown => {}
                Some(key) => self.settle_as(key, receipt.state, now),
                None => {
                    let end = now + self.bounds.retention;
                    left += usize::from(self.insert(receipt, Some(end), None).is_none());
                }
            }
        }
        left
    }

    /// Notes that a member was lost, with the receipts that it held.
    pub fn record_loss(&mut self, member: Member, now: Instant) {
        self.losses.entry(member).or_insert(now);
    }

    /// Returns the losses that still matter, to tell them to a new member.
    pub fn losses(&self, now: Instant) -> Vec<MemberLoss> {
        let losses = self.losses.iter();
        losses
            .map(|(member, at)| MemberLoss {
                member: member.clone(),
                elapsed: now.saturating_duration_since(*at),
            })
            .collect()
    }

    /// Takes in losses that another member knows of.
    pub fn import_losses(&mut self, losses: Vec<MemberLoss>, now: Instant) {
        for loss in losses {
            let at = now.checked_sub(loss.elapsed).unwrap_or(now);
            self.losses.entry(loss.member).or_insert(at);
        }
    }

    /// Takes a pool over from an owner that was lost, before its receipts are
    /// imported from all live members.
    ///
    /// What its lost owner ran becomes *unknown*. Returns whether a gap was
    /// opened, because two lost members could both have held a receipt.
    pub fn take_over(&mut self, pool: &PoolId, now: Instant) -> bool {
        self.expire(now);
        self.give_up(pool, now);
        let gap = self.losses.len() >= LOSSES_FOR_GAP;
        if gap {
            self.open_gap(pool.clone(), now);
        }
        gap
    }

    /// Answers unknown keys of non-idempotent work in `pool` as *unknown* for
    /// as long as a receipt can matter: members that could know of their runs
    /// are lost.
    pub fn open_gap(&mut self, pool: PoolId, now: Instant) {
        self.gaps.insert(pool, now + self.bounds.gap_duration());
    }

    /// Makes the running receipts of a pool *unknown*: no end will be told.
    fn give_up(&mut self, pool: &PoolId, now: Instant) {
        let running = self.kept.iter().filter(|(_, kept)| {
            kept.receipt.pool == *pool && kept.receipt.state == ReceiptState::Running
        });
        let keys: Vec<ReceiptKey> = running.map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.settle_as(key, ReceiptState::Unknown, now));
    }
}
