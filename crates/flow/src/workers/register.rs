//! Registration, polls and removal of workers.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::attempt::Phase;
use crate::workers::proof::{Exchange, Proof};
use crate::workers::unresolved::IncarnationRecord;
use crate::workers::worker::{MESSAGE_DELAY_MAX, Worker, WorkerKey};
use crate::workers::worker_health::WorkerHealth;
use crate::{FencingToken, Scheduler, WorkerIncarnation, WorkerRegistration};

/// What to send to a worker in the next poll.
#[derive(Debug, Clone, PartialEq)]
pub struct Renewal {
    /// The incarnation that is addressed.
    pub incarnation: WorkerIncarnation,
    /// Fencing token of the calls to this incarnation.
    pub token: FencingToken,
    /// Whether earlier calls to another incarnation take no effect any more. Until then an
    /// answer is needed at once.
    pub fenced: bool,
    /// New end of its lease on its own clock in milliseconds; `None` if the
    /// lease is not renewed.
    pub deadline_ms: Option<u64>,
    /// Number of the last end that is durable here; 0 if it is not acknowledged now.
    pub acknowledged: u64,
    /// Whether the worker has any attempts.
    pub busy: bool,
    /// Number of the last end that the worker has reported. It reports ends
    /// again until they are acknowledged.
    pub received: u64,
}

/// How a poll of a worker failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection ended before the answer, or was refused. The process has ended, or
    /// the network cuts it off while it runs on.
    Broken,
    /// No answer came in time, or it was malformed.
    Silent,
}

impl Scheduler {
    /// Whether an incarnation is in memory and registered.
    pub fn knows(&self, incarnation: &WorkerIncarnation) -> bool {
        let worker = self.worker_ids.get(&incarnation.id).map(|&key| &self.workers[key]);
        worker.is_some_and(|worker| worker.registered && worker.incarnation == *incarnation)
    }

    /// Applies the registration of a worker. Returns whether its incarnation is
    /// not recorded and has to be recorded before the worker gets work; `false`
    /// if a later incarnation is known.
    pub fn register(&mut self, registration: &WorkerRegistration, now: Instant) -> bool {
        let Some(&key) = self.worker_ids.get(&registration.incarnation.id) else {
            let mut worker = Worker::new(registration, self.latest_token, now);
            self.fence_returned(&mut worker, now);
            let key = self.workers.insert(worker);
            self.worker_ids.insert(registration.incarnation.id.clone(), key);
            self.note_start(key);
            self.enter_zone(key);
            self.enter_machine(key, None);
            self.stop_late_starts(key, now);
            return true;
        };
        let (start_ms, present) =
            (registration.incarnation.start_ms, self.workers[key].incarnation.start_ms);
        if start_ms != present {
            // If the worker's clock was set back, its answers will show the later one.
            if start_ms < present || !self.workers[key].may_follow(start_ms) {
                return false;
            }
            self.begin_incarnation(key, start_ms, Exchange { sent: now, read: now });
        }
        let worker = &mut self.workers[key];
        let changed = worker.incarnation != registration.incarnation;
        worker.incarnation = registration.incarnation.clone();
        worker.registered = true;
        worker.located = true;
        worker.draining = registration.draining;
        worker.set_capacity(registration.capacity);
        worker.zone = registration.zone.clone();
        worker.set_labels(&registration.labels);
        worker.set_cold(registration.cold_left, now);
        let earlier = std::mem::replace(&mut worker.machine, registration.machine.clone());
        worker.recorded &= !changed;
        let recorded = worker.recorded;
        self.note_start(key);
        self.enter_zone(key);
        self.enter_machine(key, earlier);
        self.stop_late_starts(key, now);
        !recorded
    }

    /// Records that a worker's registration was removed. Its attempts count
    /// until its lease has expired.
    pub fn deregister(&mut self, id: &HostId) {
        if let Some(&key) = self.worker_ids.get(id) {
            self.workers[key].registered = false;
        }
    }

    /// Returns the records of all incarnations that may have been given work.
    pub fn incarnation_records(&self, now: Instant) -> Vec<IncarnationRecord> {
        let may_run = |worker: &&Worker| {
            let unresolved = self.unresolved.expiry(&worker.incarnation.id).is_some();
            let is_over = worker.has_lapsed(now) && worker.attempts.is_empty();
            !unresolved && (!is_over || self.may_run_any(worker))
        };
        let current = self.workers.values().filter(may_run);
        let mut records: Vec<_> =
            current.map(|worker| self.incarnation_record(worker, now)).collect();
        records.extend(self.unresolved_records(now));
        records
    }

    /// Returns whether the records of incarnations have to be written again,
    /// and clears that mark.
    pub fn take_records_changed(&mut self) -> bool {
        std::mem::take(&mut self.records_changed)
    }

    /// Marks the incarnations of these records, which became durable at the revision
    /// `token` of the store at the latest, as recorded, so that they can be given work.
    pub fn records_written(&mut self, records: &[IncarnationRecord], token: FencingToken) {
        for record in records.iter().filter(|record| record.remaining.is_none()) {
            if let Some(&key) = self.worker_ids.get(&record.incarnation.id)
                && self.workers[key].is_recorded_in(record)
            {
                self.workers[key].recorded = true;
                self.workers[key].lease_capped = false;
                self.note_listed(key, record);
                self.raise_token(key, token);
            }
        }
    }

    /// Returns the number of attempts that may run on a worker.
    pub fn attempts_on(&self, id: &HostId) -> usize {
        self.worker_ids.get(id).map_or(0, |&key| self.workers[key].attempts.len())
    }

    /// Returns the ids of all workers in memory.
    pub fn worker_ids(&self) -> Vec<HostId> {
        self.worker_ids.keys().cloned().collect()
    }

    /// Sets the time beyond which no renewal prolongs the lease of a worker, as the next
    /// leader counts on it; `None` if there is none.
    pub fn limit_leases(&mut self, until: Option<Instant>) {
        self.lease_limit = until;
    }

    /// Returns what to send to a worker in the next poll; `None` if the worker
    /// is unknown. The lease counts from `now`.
    pub fn renewal(&mut self, id: &HostId, now: Instant) -> Option<Renewal> {
        let key = *self.worker_ids.get(id)?;
        let bound = self.rules.lease_bound();
        let left = self.lease_limit.map(|until| until.saturating_duration_since(now));
        let lease = left.map_or(self.rules.lease, |left| left.min(self.rules.lease));
        let worker = &mut self.workers[key];
        worker.poll_sent = Some(now);
        // A poll that fails may still renew the lease. If each poll asked for a
        // renewal, the attempts on an unreachable worker would count for ever.
        let permitted = !worker.lease_capped && !worker.sealed && !self.frozen;
        let renewable = permitted && worker.unreachable_since.is_none();
        let clock = worker.clock.filter(|_| renewable && !lease.is_zero());
        let deadline_ms = clock.map(|clock| clock.reading(now) + lease.as_millis() as u64);
        if deadline_ms.is_some() {
            worker.lease_end = worker.lease_end.max(now + bound);
            worker.call_sent = Some(now);
        }
        worker.renewed_until = deadline_ms.map(|_| now + lease);
        // After a failed poll another life may answer, whose ends have numbers of their own.
        let acknowledged = if worker.unreachable_since.is_none() { worker.acknowledged } else { 0 };
        Some(Renewal {
            incarnation: worker.incarnation.clone(),
            token: worker.token,
            fenced: worker.is_fenced(),
            deadline_ms,
            acknowledged,
            busy: !worker.attempts.is_empty(),
            received: worker.received,
        })
    }

    /// Records that a poll is sent now, which stays open until it is answered or fails.
    pub fn poll_opened(&mut self, poll: &Renewal) {
        if let Some(&key) = self.worker_ids.get(&poll.incarnation.id) {
            let worker = &mut self.workers[key];
            worker.poll_open = worker.incarnation.start_ms == poll.incarnation.start_ms;
        }
    }

    /// Records that a poll of a worker failed. The failure of one that was sent to an earlier
    /// incarnation says nothing about the present one.
    pub fn poll_failed(&mut self, poll: &Renewal, failure: PollFailure, now: Instant) {
        let to = &poll.incarnation;
        let present = self.worker_ids.get(&to.id).copied();
        if let Some(key) = present
            && self.workers[key].incarnation.start_ms == to.start_ms
        {
            if self.workers[key].unreachable_since.is_none() {
                self.note_lost_worker(key, failure, now);
            }
            let worker = &mut self.workers[key];
            worker.poll_open = false;
            let repeated = worker.unreachable_since.is_some();
            worker.unreachable_since.get_or_insert(now);
            // The worker's record has to be sealed, so that it lists what may
            // run there.
            self.records_changed |= repeated && !worker.sealed;
            self.end_departed(key, now);
        }
    }

    /// Starts a new incarnation of a worker: attempts that the previous one has reported have
    /// ended.
    pub(crate) fn begin_incarnation(&mut self, key: WorkerKey, start_ms: u64, seen: Exchange) {
        let now = seen.read;
        self.note_restarted_worker(key, now);
        let lease_max = self.rules.lease_max;
        let worker = &mut self.workers[key];
        worker.replace_start(start_ms, now);
        // What the previous one registered may not hold for this one.
        worker.registered = false;
        worker.located = false;
        worker.recorded = false;
        worker.polled = false;
        worker.poll_open = false;
        worker.clock = None;
        worker.renewed_until = None;
        worker.open_fence(lease_max, now + MESSAGE_DELAY_MAX);
        worker.received = 0;
        worker.acknowledged = 0;
        worker.uncommitted_ends.clear();
        worker.ends_truncated = false;
        worker.failed_jobs.clear();
        worker.cold_until = None;
        worker.health = WorkerHealth::default();
        worker.cordoned = false;
        worker.leaving = false;
        worker.departure = None;
        worker.gone = false;
        worker.blamed = false;
        worker.full_capacity = Resources::ZERO;
        worker.trial = None;
        for each in worker.attempts.clone() {
            let proof = Proof::by_later_life(&self.attempts[each], &self.workers[key], seen);
            if proof.is_some() {
                self.remove_proven(each, proof, now);
                continue;
            }
            let attempt = &mut self.attempts[each];
            // The new incarnation may accept the start command, or has accepted it.
            attempt.needs_stop |= matches!(attempt.phase, Phase::Starting | Phase::Unresolved);
            attempt.stop_sent = None;
            attempt.stop_answered = None;
        }
        self.note_start(key);
    }

    /// Removes the attempts of workers whose lease has expired, and drops
    /// workers that are no longer registered.
    pub(crate) fn expire_workers(&mut self, now: Instant) {
        self.late_starts.expire(now);
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            let expired = worker.has_lapsed(now);
            if expired && worker.recorded {
                // The incarnation has to be recorded again before it gets work.
                self.workers[key].recorded = false;
                self.records_changed = true;
            }
            let worker = &self.workers[key];
            if expired && !worker.attempts.is_empty() {
                let mut lost = worker.attempts.clone();
                lost.retain(|&attempt| {
                    !self.may_start_late(attempt, now)
                        && !self.may_run_in_unknown_life(attempt, now)
                });
                for attempt in lost {
                    let proof = Proof::by_lease(&self.attempts[attempt], &self.workers[key], now);
                    self.remove_proven(attempt, proof, now);
                }
            }
            let worker = &self.workers[key];
            let removable = !worker.registered
                && (worker.unreachable_since.is_some() || worker.attempts.is_empty());
            if removable && now > worker.lease_end && worker.attempts.is_empty() {
                let (id, machine) = (worker.incarnation.id.clone(), worker.machine.clone());
                if let Some(machine) = machine {
                    self.leave_machine(key, &machine);
                }
                self.workers.remove(key);
                self.worker_ids.remove(&id);
                self.note_dropped(id, now);
                // If it comes back, its record has to differ: it gets a token by a write.
                self.records_changed = true;
            }
        }
        // A lost attempt is told with the lease that has ended.
        self.expire_late_leases(now);
    }
}
