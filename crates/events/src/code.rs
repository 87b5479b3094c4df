//! Event codes and levels.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// An operator has to act.
    Error,
    /// An unusual condition that the system handles itself.
    Warn,
    /// Normal operation.
    Info,
    /// A detail of a single request or message.
    Debug,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $text:literal, $level:ident;)*) => {
        /// The number and name of an event.
        ///
        /// Numbers are never reused. The hundreds digit gives the area: 1 process,
        /// 2 configuration, 3 membership, 4 calls, 5 limits, 6 jobs, 7 fleet,
        /// 8 store.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// Returns the name that is written to logs.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// Returns the level.
            pub const fn level(self) -> Level {
                match self { $(Code::$name => Level::$level,)* }
            }

            /// Returns the meaning of the event, which is the text of the catalogue.
            pub const fn meaning(self) -> &'static str {
                match self { $(Code::$name => concat!($($doc,)*),)* }
            }
        }

        impl TryFrom<u16> for Code {
            type Error = String;

            fn try_from(number: u16) -> Result<Code, String> {
                match number {
                    $($number => Ok(Code::$name),)*
                    _ => Err(format!("no event has the number {number}")),
                }
            }
        }
    };
}

codes! {
    /// The process has bound its addresses and serves requests.
    ProcessStarted = 100, "process-started", Info;
    /// A planned stop began; the readiness check of the load balancer now fails.
    StopBegan = 101, "stop-began", Info;
    /// The process has finished all its work and exits.
    ProcessStopped = 102, "process-stopped", Info;

    /// The settings were reloaded.
    SettingsReloaded = 103, "settings-reloaded", Info;
    /// The settings can't be read; the previous settings stay in force.
    SettingsRefused = 104, "settings-refused", Error;
    /// The process runs late: its processor is used up, or it was suspended.
    ProcessDelayed = 105, "process-delayed", Warn;
    /// Connections of clients gave way or were refused, because the memory or the number of connections for them is used up.
    ClientsEvicted = 106, "clients-evicted", Warn;

    /// A revision of the two lists came into force on this node.
    RevisionInForce = 200, "revision-in-force", Info;
    /// The store holds lists that do not pass the checks; the last accepted lists stay in force.
    ListsRefused = 201, "lists-refused", Error;
    /// The node can't confirm that its revision is current and refuses work with a key.
    RevisionStale = 202, "revision-stale", Error;
    /// The node has confirmed again that its revision is current.
    RevisionFresh = 203, "revision-fresh", Info;
    /// A new revision withdrew a key; the key is no longer accepted.
    KeyWithdrawn = 204, "key-withdrawn", Info;

    /// A member was seen for the first time.
    MemberJoined = 300, "member-joined", Info;
    /// A member announced that it is leaving.
    MemberLeaving = 301, "member-leaving", Info;
    /// A member's lease has expired.
    MemberLost = 302, "member-lost", Warn;
    /// The ownership of a pool moved to another entry host.
    OwnerChanged = 303, "owner-changed", Info;
    /// A leaving member has finished and handed over all its work.
    MemberStopped = 304, "member-stopped", Info;

    /// This host became the leader, which decides for the whole fleet.
    LeadershipTaken = 305, "leadership-taken", Info;
    /// This host is no longer the leader.
    LeadershipLost = 306, "leadership-lost", Info;
    /// This host can't prove that it is the leader, or another host is the leader.
    LeadershipUncertain = 307, "leadership-doubtful", Warn;

    /// A call was accepted from a caller.
    CallReceived = 400, "call-received", Debug;
    /// The complete answer of a call was passed to its caller.
    CallAnswered = 401, "call-answered", Debug;
    /// A call was refused; no byte of it was written to an endpoint.
    CallNotRun = 402, "call-not-run", Info;
    /// A call was written to an endpoint, and a complete answer can't be proved.
    CallUnknown = 403, "call-unknown", Warn;
    /// A call was written to an endpoint.
    CallStarted = 404, "call-started", Debug;
    /// A caller's request about a job or a queue was answered.
    CallerAnswered = 405, "caller-answered", Info;
    /// An endpoint gets no work because of failures.
    EndpointEjected = 410, "endpoint-ejected", Warn;
    /// An endpoint that was ejected after failures answers again.
    EndpointRestored = 411, "endpoint-restored", Info;
    /// The host list shows an endpoint as leaving; it gets no new work.
    EndpointLeaving = 412, "endpoint-leaving", Info;
    /// An endpoint was removed from the host list.
    EndpointRemoved = 413, "endpoint-gone", Info;
    /// The host list shows an endpoint as live.
    EndpointJoined = 414, "endpoint-joined", Info;
    /// An endpoint that has started again refuses calls to its earlier lives from now on.
    EndpointFenced = 415, "endpoint-fenced", Info;

    /// Permits of a team were transferred to another entry host.
    PermitsMoved = 500, "units-moved", Debug;
    /// Permits of a lost member became free.
    PermitsReclaimed = 501, "units-reclaimed", Info;

    /// A job was stored durably and acknowledged.
    JobAccepted = 600, "job-accepted", Info;
    /// An attempt of a job was started on a worker.
    JobStarted = 601, "job-started", Info;
    /// A job is done.
    JobDone = 602, "job-done", Info;
    /// A job failed permanently.
    JobFailed = 603, "job-failed", Warn;
    /// A job was cancelled.
    JobCancelled = 604, "job-cancelled", Info;
    /// The outcome of an attempt can't be proved, and the job must not run again.
    JobUnknown = 605, "job-unknown", Error;
    /// No host of the pool could ever hold the job.
    JobCannotRun = 606, "job-cannot-run", Warn;
    /// A job returned to its queue.
    JobRequeued = 607, "job-requeued", Info;
    /// Jobs of a lost member were taken over.
    JobsRecovered = 608, "jobs-recovered", Info;
    /// A job was not accepted, or its acceptance can't be proved.
    JobRefused = 609, "job-refused", Warn;
    /// Unrelated jobs failed on a worker; it gets no more jobs.
    WorkerQuarantined = 610, "worker-quarantined", Warn;
    /// A quarantined worker passed its probes and gets jobs again.
    WorkerRestored = 611, "worker-restored", Info;

    /// A command to start a task was sent to a worker.
    TaskStarted = 620, "task-started", Info;
    /// An attempt of a task succeeded.
    TaskDone = 621, "task-done", Info;
    /// An attempt of a task ended without a result.
    TaskEnded = 622, "task-ended", Info;
    /// A command to stop an attempt was sent to a worker.
    TaskStopped = 623, "task-stopped", Info;
    /// A command to run an attempt slower or faster was sent to a worker.
    TaskThrottled = 624, "task-paced", Info;
    /// The adviser was asked which workers may run a step.
    AdviserAsked = 625, "step-advised", Info;
    /// An attempt of a task was lost with its worker.
    TaskLost = 626, "task-lost", Warn;
    /// A task was given up, because workers crash under it; its job failed.
    TaskDeadly = 627, "task-deadly", Warn;
    /// A worker fails or is slower than others of its pool; it gets a few tasks at a time.
    WorkerDoubtful = 628, "worker-doubtful", Warn;
    /// A doubtful worker has proved itself and gets tasks like others again.
    WorkerTrusted = 629, "worker-trusted", Info;
    /// Several workers of a rack are doubtful at the same time, probably for one cause.
    RackDoubtful = 630, "rack-doubtful", Warn;

    /// A team wants more than its allocation of a contended pool and has work waiting.
    TeamAboveShare = 632, "team-above-share", Info;
    /// A team has no more work waiting above its allocation.
    TeamWithinShare = 633, "team-within-share", Info;
    /// A job was rejected because it can't be done while it has value.
    JobHopeless = 640, "job-hopeless", Info;

    /// A command to move a machine or to put it into maintenance was issued.
    MachineCommandSent = 700, "machine-ordered", Info;
    /// Operators asked to drain an availability zone; nothing starts on its workers.
    ZoneDrainRequested = 701, "zone-drain-requested", Info;
    /// No task runs in a drained zone any more.
    ZoneDrained = 702, "zone-drained", Info;
    /// Operators withdrew the request to drain a zone; its workers take work again.
    ZoneDrainEnded = 703, "zone-drain-ended", Info;

    /// The store does not answer, or a call to it failed.
    StoreFailed = 800, "store-failed", Warn;
    /// The store answers again.
    StoreRecovered = 801, "store-back", Info;
    /// A value in the store can't be read; it is not changed.
    ValueUnreadable = 802, "value-unreadable", Error;
    /// The store answers no call of this host; nothing more is sent to it but probes.
    StoreSilent = 803, "store-silent", Warn;
    /// A probe was answered: calls to the store go on.
    StoreAnswers = 804, "store-answers", Info;
}

impl Code {
    /// Returns the number.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.number(), self.name())
    }
}
