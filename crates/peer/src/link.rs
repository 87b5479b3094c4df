//! The message history between this member and one peer.

use std::collections::VecDeque;

use vg_base::prelude::*;

/// Number of send times that are kept, to find out when the message that a peer echoes
/// was sent.
const SENT_MAX: usize = 16;

/// Serial numbers and times of the messages to and from one peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    sent: VecDeque<(u64, Instant)>,
    received: Option<u64>,
    last_heard: Option<Instant>,
}

impl Link {
    /// Records a message that is sent now. Returns the latest serial number received.
    pub(crate) fn send(&mut self, now: Instant, serial: u64) -> Option<u64> {
        self.sent.push_back((serial, now));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.received
    }

    /// Records a received message. Returns whether its serial number is the highest so far.
    pub(crate) fn receive(&mut self, now: Instant, serial: u64) -> bool {
        self.last_heard = Some(now);
        let is_newest = self.received.is_none_or(|latest| serial > latest);
        if is_newest {
            self.received = Some(serial);
        }
        is_newest
    }

    /// Returns when the message with the echoed serial number was sent, if it is still known.
    pub(crate) fn echo_sent_at(&self, echo: Option<u64>) -> Option<Instant> {
        let sent = self.sent.iter().find(|(serial, _)| Some(*serial) == echo);
        sent.map(|(_, at)| *at)
    }

    /// Returns when the last message of the peer was received.
    pub(crate) fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    /// Returns when the last message to the peer was sent.
    pub(crate) fn last_sent(&self) -> Option<Instant> {
        self.sent.back().map(|(_, at)| *at)
    }
}
