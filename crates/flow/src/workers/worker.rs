//! Workers and their incarnations.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::attempt::AttemptKey;
use crate::jobs::trials::Trial;
use crate::workers::departures::Departure;
use crate::workers::fence::Fence;
use crate::workers::occupancy::Occupancy;
use crate::workers::proof::WorkerLife;
use crate::workers::worker_health::WorkerHealth;
use crate::{FencingToken, TaskId};

slotmap::new_key_type! {
    /// Key of a worker in its table.
    pub struct WorkerKey;
}

/// Time that has to be left of a worker's lease for it to be given work.
const MIN_LEASE_LEFT: Duration = Duration::from_secs(1);
/// Longest time after which a command or a poll without an answer arrives at its worker.
pub(crate) const MESSAGE_DELAY_MAX: Duration = Duration::from_secs(12);

/// Number of ended incarnations whose starts are kept. Their registrations lapse within
/// seconds.
const MAX_PAST_STARTS: usize = 8;

/// One incarnation of a worker: the time from the start of its process to its
/// end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{id}@{start_ms}")]
pub struct WorkerIncarnation {
    /// The worker.
    pub id: HostId,
    /// Wall time of the start in milliseconds since 1970, as reported by the
    /// worker.
    #[serde(rename = "born")]
    pub start_ms: u64,
    /// Its pool.
    pub pool: PoolId,
    /// Address at which it accepts commands.
    pub addr: std::net::SocketAddr,
}

impl WorkerIncarnation {
    /// Returns which life of its worker it is.
    pub fn life(&self) -> WorkerLife {
        WorkerLife { worker: self.id.clone(), start_ms: self.start_ms }
    }
}

/// The registration of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRegistration {
    /// The incarnation that registered.
    pub incarnation: WorkerIncarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Its total capacity.
    pub capacity: Resources,
    /// Its kind, rack and other labels.
    pub labels: Vec<SmolStr>,
    /// The machine that it runs on, if known.
    pub machine: Option<SmolStr>,
    /// Time for which it is still slow after a cold restart; zero if it is warm.
    pub cold_left: Duration,
}

/// Estimate of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerClock {
    /// Reading of the clock in milliseconds.
    pub(crate) reading_ms: u64,
    /// When the poll was sent whose answer has this reading.
    pub(crate) asked: Instant,
    /// When the answer with this reading was received. The true reading was not
    /// lower at that time: a poll waits at the worker before the clock is read.
    pub(crate) at: Instant,
}

impl WorkerClock {
    /// Returns the estimated reading at `now`. The worker's clock is at most
    /// slightly ahead of it.
    pub(crate) fn reading(&self, now: Instant) -> u64 {
        self.reading_ms + now.saturating_duration_since(self.at).as_millis() as u64
    }
}

/// A worker as known to the leader.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) incarnation: WorkerIncarnation,
    /// Since when this leader knows the incarnation.
    pub(crate) known_since: Instant,
    /// Starts of incarnations that are known to have ended.
    pub(crate) past_starts: Vec<u64>,
    pub(crate) capacity: Resources,
    /// The most that this incarnation has had: its capacity may shrink and grow again.
    pub(crate) full_capacity: Resources,
    pub(crate) labels: Vec<SmolStr>,
    pub(crate) rack: Option<SmolStr>,
    pub(crate) machine: Option<SmolStr>,
    /// Whether the present incarnation has registered, so that `machine` is its own and not
    /// that of an earlier one.
    pub(crate) located: bool,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// Whether its zone is drained, so that nothing may start on it.
    pub(crate) zone_drained: bool,
    /// Until when it is, or was, slow after a cold restart.
    pub(crate) cold_until: Option<Instant>,
    /// Whether this incarnation is registered in the store.
    pub(crate) registered: bool,
    pub(crate) draining: bool,
    /// Whether the incarnation is durably recorded, so that the next leader
    /// knows it.
    pub(crate) recorded: bool,
    /// Whether its durable record names all that may run on it, so that an attempt has to be
    /// named before it is sent.
    pub(crate) listed: bool,
    /// Whether the lease is not renewed before a record without its end is durable: the
    /// present record states when it ends, or is that of an earlier incarnation.
    pub(crate) lease_capped: bool,
    /// Whether the record lists, or is about to list, all that may run on it:
    /// the worker gets no work before the record is unsealed.
    pub(crate) sealed: bool,
    /// Whether it has answered a poll of this leader in this incarnation.
    pub(crate) polled: bool,
    /// Token of the calls to this incarnation.
    pub(crate) token: FencingToken,
    /// Whether calls to earlier incarnations take effect in this one.
    pub(crate) fence: Fence,
    pub(crate) attempts: Vec<AttemptKey>,
    pub(crate) used: Occupancy,
    /// Free capacity that is reserved for continuous tasks that leave drained zones.
    pub(crate) drain_reserve: Resources,
    pub(crate) clock: Option<WorkerClock>,
    /// Time after which nothing that it was told to run can still run.
    pub(crate) lease_end: Instant,
    /// Until when a lease may last that a late call to an earlier life has renewed: its
    /// deadline is a time on the clock of that life, far ahead of the present one.
    pub(crate) late_lease: Option<Instant>,
    /// Until when the lease lasts that the last renewal asked for; `None` if that
    /// renewal asked for none.
    pub(crate) renewed_until: Option<Instant>,
    /// Number of the last end that is in memory.
    pub(crate) received: u64,
    /// Number of the last end that is durable.
    pub(crate) acknowledged: u64,
    /// Ends in memory that are not durable: number and task.
    pub(crate) uncommitted_ends: Vec<(u64, TaskId)>,
    /// Whether its last list of ends was truncated.
    pub(crate) ends_truncated: bool,
    /// When a poll was last sent, also to an earlier incarnation.
    pub(crate) poll_sent: Option<Instant>,
    /// Whether a poll is open: the end of the process would break it.
    pub(crate) poll_open: bool,
    /// When a call was last sent that renews the lease.
    pub(crate) call_sent: Option<Instant>,
    /// When a poll was last answered.
    pub(crate) last_poll: Option<Instant>,
    /// Since when all polls have failed.
    pub(crate) unreachable_since: Option<Instant>,
    /// It gets no new starts before this time, after refusals or failures.
    pub(crate) backoff_until: Option<Instant>,
    /// Jobs of which attempts have failed on it since the last successful
    /// attempt.
    pub(crate) failed_jobs: Vec<JobId>,
    /// How often it was put into backoff because of failures.
    pub(crate) backoffs: u32,
    /// What its attempts show about it.
    pub(crate) health: WorkerHealth,
    /// Whether it is being drained for maintenance or a move.
    pub(crate) cordoned: bool,
    /// Whether a command is said to have taken its machine away, or another worker is on it: it
    /// gets no work.
    pub(crate) leaving: bool,
    /// The command that is said to have taken its machine away, until it answers again.
    pub(crate) departure: Option<Departure>,
    /// Whether it is proven that the incarnation has ended with its machine. A later one may run
    /// elsewhere.
    pub(crate) gone: bool,
    /// Whether its tasks are marked for a crash of it.
    pub(crate) blamed: bool,
    /// The trial that it holds or is kept for: nothing else starts there.
    pub(crate) trial: Option<Trial>,
}

impl Worker {
    pub(crate) fn new(
        registration: &WorkerRegistration,
        token: FencingToken,
        now: Instant,
    ) -> Worker {
        let mut worker = Worker {
            incarnation: registration.incarnation.clone(),
            known_since: now,
            past_starts: Vec::new(),
            capacity: registration.capacity,
            full_capacity: registration.capacity,
            labels: registration.labels.clone(),
            rack: rack_of(&registration.labels),
            machine: registration.machine.clone(),
            located: true,
            zone: registration.zone.clone(),
            zone_drained: false,
            cold_until: None,
            registered: true,
            draining: registration.draining,
            recorded: false,
            listed: false,
            lease_capped: false,
            sealed: false,
            polled: false,
            token,
            fence: Fence::Closed,
            attempts: Vec::new(),
            used: Occupancy::default(),
            drain_reserve: Resources::ZERO,
            clock: None,
            lease_end: now,
            late_lease: None,
            renewed_until: None,
            received: 0,
            acknowledged: 0,
            uncommitted_ends: Vec::new(),
            ends_truncated: false,
            poll_sent: None,
            poll_open: false,
            call_sent: None,
            last_poll: None,
            unreachable_since: None,
            backoff_until: None,
            failed_jobs: Vec::new(),
            backoffs: 0,
            health: WorkerHealth::default(),
            cordoned: false,
            leaving: false,
            departure: None,
            gone: false,
            blamed: false,
            trial: None,
        };
        worker.set_cold(registration.cold_left, now);
        worker
    }

    /// Notes for how long it is still slow. A registration that is read again does not
    /// extend that time.
    pub(crate) fn set_cold(&mut self, left: Duration, now: Instant) {
        // A time that can not be represented is malformed.
        let until = now.checked_add(left).unwrap_or(now);
        self.cold_until = match self.cold_until {
            Some(before) => Some(before.min(until)),
            None => (!left.is_zero()).then_some(until),
        };
    }

    /// Sets its capacity, which its registration shows.
    pub(crate) fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
        self.full_capacity = self.full_capacity.max(&capacity);
    }

    /// Sets its labels, which its registration shows, and its rack.
    pub(crate) fn set_labels(&mut self, labels: &[SmolStr]) {
        self.labels = labels.to_vec();
        self.rack = rack_of(labels);
    }

    /// Returns the part of its full capacity that it has now.
    pub(crate) fn present_share(&self) -> f64 {
        self.capacity.scarcest_share(&self.full_capacity)
    }

    /// Returns the machine that the present incarnation runs on, if it is known.
    pub(crate) fn known_machine(&self) -> Option<&SmolStr> {
        self.machine.as_ref().filter(|_| self.located)
    }

    /// Returns what stays when the worker is replaced: its machine, or its id if that is
    /// not known.
    pub(crate) fn home(&self) -> SmolStr {
        self.machine.clone().unwrap_or_else(|| self.incarnation.id.as_str().into())
    }

    /// Whether a start that an answer to a poll names is that of a later incarnation. An
    /// answer to a poll that was sent since the present one is known comes from no earlier
    /// one, whatever its start: the worker's wall clock may be set back between two lives.
    pub(crate) fn is_later_start(&self, start_ms: u64, sent: Instant) -> bool {
        self.may_follow(start_ms)
            && (start_ms > self.incarnation.start_ms || sent > self.known_since)
    }

    /// Whether a start differs from that of the present incarnation, and is not that of one
    /// that has ended.
    pub(crate) fn may_follow(&self, start_ms: u64) -> bool {
        start_ms != self.incarnation.start_ms && !self.past_starts.contains(&start_ms)
    }

    /// Notes that its present incarnation has ended, and that a later one has begun.
    pub(crate) fn replace_start(&mut self, start_ms: u64, now: Instant) {
        let past = std::mem::replace(&mut self.incarnation.start_ms, start_ms);
        self.past_starts.push(past);
        let excess = self.past_starts.len().saturating_sub(MAX_PAST_STARTS);
        self.past_starts.drain(..excess);
        self.known_since = now;
    }

    /// Returns the time after which nothing can run on it, as it does not answer. Nothing
    /// runs under a late lease on a machine that was taken away. A broken connection does
    /// not show that the process has ended.
    pub(crate) fn last_lease_end(&self) -> Instant {
        let late = self.late_lease.filter(|_| !self.gone);
        late.map_or(self.lease_end, |late| self.lease_end.max(late))
    }

    /// Whether it does not answer and nothing can run on it any more.
    pub(crate) fn has_lapsed(&self, now: Instant) -> bool {
        self.unreachable_since.is_some() && now > self.last_lease_end()
    }

    /// Returns the free capacity; `None` if it is not known, so that nothing may start
    /// that needs any.
    pub(crate) fn free(&self) -> Option<Resources> {
        self.used.total().map(|used| self.capacity.minus(&used))
    }

    /// Gives it no work and renews no lease before it is recorded again,
    /// because its record states when its lease ends.
    pub(crate) fn require_record(&mut self) {
        self.recorded = false;
        self.lease_capped = true;
    }

    /// Whether its lease lasts until the next renewal is sent. A start gives a lease
    /// that is shorter than the time for which a poll may stay open.
    fn is_being_renewed(&self, now: Instant) -> bool {
        self.renewed_until.is_some_and(|until| until >= now + MIN_LEASE_LEFT)
    }

    /// Whether new work can be given to it.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.is_ready(now) && !self.zone_drained
    }

    /// Whether it could be given new work if its zone is not drained.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.registered
            && !self.draining
            && self.recorded
            && !self.sealed
            && self.polled
            && !self.cordoned
            && !self.leaving
            && self.unreachable_since.is_none()
            && self.clock.is_some()
            && self.is_being_renewed(now)
            && self.is_fenced()
            && self.backoff_until.is_none_or(|until| until <= now)
    }
}

/// Returns the rack among a worker's labels: the last one, after its kind.
fn rack_of(labels: &[SmolStr]) -> Option<SmolStr> {
    labels.last().cloned()
}
