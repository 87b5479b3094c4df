//! Tells operators why a start was allowed, what shows that an attempt is lost, and what was
//! known of a machine when a command to it was decided.

use vg_base::prelude::*;
use vg_events::Field;
use vg_flow::{
    CommandTarget, Exchange, Finding, LostAttempt, Proof, Release, ReleaseCause, StartGround,
    WorkerLife,
};

/// Returns the fields that tell why an attempt may start, which was decided at `now`.
pub(super) fn ground_fields(ground: &StartGround, now: Instant) -> Vec<Field> {
    let mut fields = vec![Field::new("ground", ground)];
    match ground {
        StartGround::New | StartGround::Unrecorded | StartGround::Copy => {}
        StartGround::Released(release) => fields.extend(release_fields(release, now)),
        StartGround::After(proof) => {
            fields.push(Field::new("after-run", proof.attempt()));
            fields.extend(proof_fields(proof, now));
        }
    }
    fields
}

/// Returns the fields of an attempt that was lost with its worker, which is told at `now`.
pub(super) fn loss_fields(lost: &LostAttempt, now: Instant) -> Vec<Field> {
    let proof = &lost.proof;
    let mut fields = vec![
        Field::new("task", lost.task),
        Field::new("run", proof.attempt()),
        Field::new("worker", &proof.life().worker),
        Field::new("born", proof.life().start_ms),
        Field::new("age-ms", lost.age.as_millis()),
        Field::new("how", proof.finding()),
    ];
    fields.extend(finding_field(proof.finding()));
    fields.extend(exchange_fields(proof.seen(), now));
    fields
}

/// Returns the fields of a command to a machine: what was known when it was decided, and how
/// long it took until it was sent, and from then until its answer was read at `now`.
pub(super) fn target_fields(target: &CommandTarget, sent: Instant, now: Instant) -> Vec<Field> {
    let life = target.life.as_ref();
    let list_ms = target.list_age.map_or(-1, |age| age.as_millis() as i64);
    let since = |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis();
    let worker = Field::new("worker", life.map_or("none", |life| life.worker.as_str()));
    let born = life.map(|life| Field::new("born", life.start_ms));
    let others = [
        Field::new("runs", target.attempts),
        Field::new("list-ms", list_ms),
        Field::new("decided-ms", since(target.decided, sent)),
        Field::new("ms", since(sent, now)),
    ];
    [worker].into_iter().chain(born).chain(others).collect()
}

fn proof_fields(proof: &Proof, now: Instant) -> impl Iterator<Item = Field> {
    let fields = life_fields(proof.life()).into_iter().chain(finding_field(proof.finding()));
    fields.chain(exchange_fields(proof.seen(), now))
}

fn release_fields(release: &Release, now: Instant) -> impl Iterator<Item = Field> {
    let by = match &release.cause {
        ReleaseCause::MachineTaken { by } => Some(Field::new("by", by)),
        ReleaseCause::Answered | ReleaseCause::LeaseEnded => None,
    };
    life_fields(&release.life).into_iter().chain(by).chain(exchange_fields(release.seen, now))
}

fn life_fields(life: &WorkerLife) -> [Field; 2] {
    [Field::new("after-worker", &life.worker), Field::new("after-born", life.start_ms)]
}

/// Returns what a finding tells beside its name.
fn finding_field(finding: &Finding) -> Option<Field> {
    match finding {
        Finding::Refused(reason) => Some(Field::new("refused", reason)),
        Finding::Ended(outcome) => Some(Field::new("end", outcome)),
        Finding::StartExpired { clock_ms } => Some(Field::new("clock-ms", clock_ms)),
        Finding::LaterLife { start_ms } => Some(Field::new("by", start_ms)),
        Finding::MachineTaken { by } => Some(Field::new("by", by)),
        Finding::MachineCommanded(command) => Some(Field::new("by", command)),
        Finding::LeaseEnded(cause) => Some(Field::new("lease", cause)),
        Finding::NotSent
        | Finding::NotListed
        | Finding::Stopped
        | Finding::Fenced
        | Finding::StartOverdue => None,
    }
}

/// Returns how long before `now` a call was sent and its answer read.
fn exchange_fields(seen: Exchange, now: Instant) -> [Field; 2] {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis();
    [Field::new("asked-ms", age(seen.sent)), Field::new("read-ms", age(seen.read))]
}
