//! The messages between this member and one peer.

use std::collections::VecDeque;

use vg_base::prelude::*;

/// Send times that are kept to date what a peer's message answers.
const SENT_KEPT: usize = 16;

/// Serial numbers and times of the messages to and from one peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    sent: VecDeque<(u64, Instant)>,
    received: Option<u64>,
    heard: Option<Instant>,
}

impl Link {
    /// Notes a message that is made now. Returns the latest serial received.
    pub(crate) fn send(&mut self, now: Instant, serial: u64) -> Option<u64> {
        self.sent.push_back((serial, now));
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
        self.received
    }

    /// Notes a message. Returns whether it is later than all before it.
    pub(crate) fn receive(&mut self, now: Instant, serial: u64) -> bool {
        self.heard = Some(now);
        let fresh = self.received.is_none_or(|before| serial > before);
        if fresh {
            self.received = Some(serial);
        }
        fresh
    }

    /// Returns when the message was made that the peer had received last.
    pub(crate) fn asked(&self, echo: Option<u64>) -> Option<Instant> {
        let sent = self.sent.iter().find(|(serial, _)| Some(*serial) == echo);
        sent.map(|(_, at)| *at)
    }

    /// Returns when the peer was heard of last.
    pub(crate) fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// Returns when the last message was made.
    pub(crate) fn last_sent(&self) -> Option<Instant> {
        self.sent.back().map(|(_, at)| *at)
    }
}
