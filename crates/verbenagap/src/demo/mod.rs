//! The command `demo`: runs a complete site in one process, under load and faults.
//!
//! The demo uses the example lists of one of the first users, whose teams compete for
//! capacity. It withdraws a key, marks an endpoint as leaving, kills another endpoint and
//! restarts an entry host. Then it compares the answers that callers got with the work that
//! ran, and fails if a guarantee was violated.

mod guarantees;
mod load;
mod options;
mod report;
mod scenario;
mod tally;

use clap::ArgMatches;
use vg_cli::{Console, Exit, ExtraCommand};

use options::DemoOptions;

/// The command, for the program `verbenagap` to add to its command line.
pub const EXTRA: ExtraCommand = ExtraCommand { command: options::command, run };

/// Runs the demo and writes its report. Fails if a guarantee was violated.
fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Exit {
    let options = DemoOptions::from(matches);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(scenario::run(&options)).map_err(|e| e.to_string()),
        Err(e) => Err(format!("cannot start threads: {e}")),
    };
    let all_kept = result.and_then(|outcome| {
        let kept = outcome.guarantees.iter().all(|guarantee| guarantee.violated == 0);
        report::write(console.out, &outcome).map_err(|e| e.to_string())?;
        Ok(kept)
    });
    match all_kept {
        Ok(true) => Exit::Success,
        Ok(false) => {
            let _ = writeln!(console.err, "verbenagap: demo: a guarantee was violated, see above");
            Exit::Failed
        }
        Err(error) => {
            // If standard error is closed, the exit status still reports the failure.
            let _ = writeln!(console.err, "verbenagap: demo: {error}");
            Exit::Failed
        }
    }
}
