//! Membership of entry hosts and the messages between them.
