//! The catalogue of events.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How much an operator should care.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Something an operator has to act on.
    Error,
    /// Something out of the ordinary that the system handles.
    Warn,
    /// A step of ordinary work.
    Info,
    /// A detail, one for each request or message.
    Debug,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $text:literal, $level:ident;)*) => {
        /// An event's number and name.
        ///
        /// Numbers are never used again. The hundreds tell the area: 1 process,
        /// 2 configuration, 3 membership, 4 calls, 5 limits, 6 jobs, 7 fleet,
        /// 8 store.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// Returns the name as it stands in logs.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// Returns the level.
            pub const fn level(self) -> Level {
                match self { $(Code::$name => Level::$level,)* }
            }

            /// Returns what the event means, as the catalogue says it.
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
    /// The process has bound its addresses and serves.
    ProcessStarted = 100, "process-started", Info;
    /// A planned stop began: the balancer check is red.
    StopBegan = 101, "stop-began", Info;
    /// The process has finished all work and exits.
    ProcessStopped = 102, "process-stopped", Info;

    /// The settings were read again.
    SettingsReloaded = 103, "settings-reloaded", Info;
    /// The settings can't be read; the earlier ones stay in force.
    SettingsRefused = 104, "settings-refused", Error;

    /// A revision of the two lists is in force on this node.
    RevisionInForce = 200, "revision-in-force", Info;
    /// The store holds lists that do not pass the checks; the last accepted ones stay.
    ListsRefused = 201, "lists-refused", Error;
    /// The node can no longer show that its revision is current and refuses keyed work.
    RevisionStale = 202, "revision-stale", Error;
    /// The node can show again that its revision is current.
    RevisionFresh = 203, "revision-fresh", Info;
    /// A key stopped working because a revision withdrew it.
    KeyWithdrawn = 204, "key-withdrawn", Info;

    /// A member was seen for the first time.
    MemberJoined = 300, "member-joined", Info;
    /// A member announced that it leaves.
    MemberLeaving = 301, "member-leaving", Info;
    /// A member's lease has lapsed.
    MemberLost = 302, "member-lost", Warn;
    /// A pool's dispatch moved to another entry host.
    OwnerChanged = 303, "owner-changed", Info;
    /// A leaving member has finished and handed over all its work.
    MemberStopped = 304, "member-stopped", Info;

    /// This host leads: it decides for the whole fleet.
    LeadershipTaken = 305, "leadership-taken", Info;
    /// This host leads no more.
    LeadershipLost = 306, "leadership-lost", Info;
    /// This host can't prove that it leads, or another one does.
    LeadershipUncertain = 307, "leadership-doubtful", Warn;

    /// A call was accepted from a caller.
    CallReceived = 400, "call-received", Debug;
    /// A call's whole answer was handed to its caller.
    CallAnswered = 401, "call-answered", Debug;
    /// A call was refused; no byte of it was written to an endpoint.
    CallNotRun = 402, "call-not-run", Info;
    /// A call was written to an endpoint and no whole answer can be proved.
    CallUnknown = 403, "call-unknown", Warn;
    /// A call was written to an endpoint.
    CallStarted = 404, "call-started", Debug;
    /// A caller's request about a job or a queue was answered.
    CallerAnswered = 405, "caller-answered", Info;
    /// An endpoint is out of use after failures.
    EndpointEjected = 410, "endpoint-ejected", Warn;
    /// An endpoint that was out of use answers again.
    EndpointRestored = 411, "endpoint-restored", Info;
    /// The host list shows an endpoint as leaving; it gets no new work.
    EndpointLeaving = 412, "endpoint-leaving", Info;
    /// An endpoint is gone from the host list.
    EndpointRemoved = 413, "endpoint-gone", Info;
    /// The host list shows an endpoint as live.
    EndpointJoined = 414, "endpoint-joined", Info;

    /// Units of a team moved to another entry host.
    PermitsMoved = 500, "units-moved", Debug;
    /// Units of a lost member came back to the free ones.
    PermitsReclaimed = 501, "units-reclaimed", Info;

    /// A job was made durable and acknowledged.
    JobAccepted = 600, "job-accepted", Info;
    /// A job's attempt was started on a worker.
    JobStarted = 601, "job-started", Info;
    /// A job is done.
    JobDone = 602, "job-done", Info;
    /// A job failed for good.
    JobFailed = 603, "job-failed", Warn;
    /// A job was cancelled.
    JobCancelled = 604, "job-cancelled", Info;
    /// The fate of a job's attempt can't be proved and it may not run again.
    JobUnknown = 605, "job-unknown", Error;
    /// No host of the pool could ever hold the job.
    JobCannotRun = 606, "job-cannot-run", Warn;
    /// A job went back to its queue.
    JobRequeued = 607, "job-requeued", Info;
    /// Jobs of a lost member were taken over.
    JobsRecovered = 608, "jobs-recovered", Info;
    /// A job was not accepted, or its acceptance can't be proved.
    JobRefused = 609, "job-refused", Warn;
    /// A worker fails unlike jobs and gets no more.
    WorkerQuarantined = 610, "worker-quarantined", Warn;
    /// A quarantined worker runs probes well and gets jobs again.
    WorkerRestored = 611, "worker-restored", Info;

    /// A start of a task was given to a worker.
    TaskStarted = 620, "task-started", Info;
    /// A run of a task ended well.
    TaskDone = 621, "task-done", Info;
    /// A run of a task ended without a result.
    TaskEnded = 622, "task-ended", Info;
    /// A worker was told to stop a run.
    TaskStopped = 623, "task-stopped", Info;
    /// A worker was told to let a run work slower or faster.
    TaskThrottled = 624, "task-paced", Info;
    /// The adviser was asked which workers may run a step.
    AdviserAsked = 625, "step-advised", Info;

    /// A machine was told to move or to go into maintenance.
    MachineCommandSent = 700, "machine-ordered", Info;

    /// The store gives no answer.
    StoreFailed = 800, "store-failed", Warn;
    /// The store answers again.
    StoreRecovered = 801, "store-back", Info;
    /// A value in the store can't be read; it is left as it is.
    ValueUnreadable = 802, "value-unreadable", Error;
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
