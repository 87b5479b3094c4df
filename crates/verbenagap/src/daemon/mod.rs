//! The program `verbenagapd`: runs one entry host.

mod error;
mod log;
mod options;

use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_conf::{Settings, settings};
use vg_entry::{NodeHandle, SystemPlatform};
use vg_store::{EtcdSettings, EtcdStore};

pub use error::DaemonError;
pub use options::{options, timing};

use error::{LogSnafu, NodeSnafu, RuntimeSnafu, SettingsSnafu, SignalSnafu};

/// Time from when the readiness check starts to fail until a stopping node refuses new
/// work. The load balancer stops sending requests to the node within this time.
const STOP_NOTICE: Duration = Duration::from_secs(2);
/// Exit status for invalid settings.
const USAGE_EXIT: u8 = 2;

type DaemonHandle = NodeHandle<SystemPlatform<EtcdStore>>;

/// Describes the command line.
pub fn command() -> Command {
    let command = Command::new("verbenagapd")
        .about("One entry host: takes calls and jobs and hands them to the fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .max_term_width(100)
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit; starts nothing"),
        );
    settings::command(command)
}

/// Runs the program and returns its exit status.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let mut stderr = std::io::stderr().lock();
            for line in error.to_string().lines() {
                // If standard error is closed, the exit status still reports the failure.
                let _ = writeln!(stderr, "verbenagapd: {line}");
            }
            error.exit_code()
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), DaemonError> {
    let settings = settings::load(matches).context(SettingsSnafu)?;
    let timing = timing(&settings)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let _logger = log::start(&settings).context(LogSnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.context(RuntimeSnafu)?.block_on(serve(&settings, timing))
}

/// Serves until SIGTERM or SIGINT requests a graceful stop. A node whose member was
/// fenced is killed and started again as a member of a new incarnation.
async fn serve(settings: &Settings, timing: vg_peer::Timing) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    loop {
        let handle = start_node(settings, timing.clone()).await?;
        tokio::select! {
            _ = terminate.recv() => return stop_node(handle).await,
            _ = interrupt.recv() => return stop_node(handle).await,
            () = handle.fenced() => handle.kill().await,
        }
    }
}

async fn start_node(
    settings: &Settings,
    timing: vg_peer::Timing,
) -> Result<DaemonHandle, DaemonError> {
    let store = EtcdStore::new(EtcdSettings::new(settings.store.clone()));
    let handle = NodeHandle::start(options(settings), store, SystemClock, timing).await;
    handle.context(NodeSnafu)
}

async fn stop_node(handle: DaemonHandle) -> Result<(), DaemonError> {
    if handle.stop(STOP_NOTICE).await { Ok(()) } else { Err(DaemonError::Unfinished) }
}

/// Returns the exit status for invalid settings.
pub(crate) const fn usage_exit() -> u8 {
    USAGE_EXIT
}
