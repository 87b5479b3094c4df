//! The point from which a task continues.

use vg_base::prelude::*;

/// A checkpoint that a worker has reported, or none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Checkpoint {
    /// Its value; empty if there is none.
    pub(crate) value: SmolStr,
    /// When the value was first reported here. `None` if it was read from a record.
    seen: Option<Instant>,
}

impl Checkpoint {
    /// Returns a checkpoint that was read from a record.
    pub(crate) fn restored(value: SmolStr) -> Checkpoint {
        Checkpoint { value, seen: None }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.value.is_empty()
    }

    /// Replaces the value by one that was reported. A repeated report changes nothing.
    pub(crate) fn set(&mut self, value: &SmolStr, now: Instant) {
        if self.value != *value {
            *self = Checkpoint { value: value.clone(), seen: Some(now) };
        }
    }

    /// Returns the checkpoint from which all members of a gang continue: the value that was
    /// reported last, and of those that were read from records the one that most members
    /// have. The members' values may differ, as some of their last reports are older, and a
    /// gang whose members carry different ones never becomes complete.
    pub(crate) fn common<'a>(members: impl Iterator<Item = &'a Checkpoint> + Clone) -> Checkpoint {
        let known = members.filter(|each| !each.is_empty());
        let count = |each: &Checkpoint| known.clone().filter(|it| it.value == each.value).count();
        let best = known.clone().max_by_key(|each| (each.seen, count(each)));
        best.cloned().unwrap_or_default()
    }
}
