//! The command `demo`: a whole site in one process, under load and faults.
//!
//! It runs the example lists of one of the first users with rival teams,
//! withdraws a key, has an endpoint leave, kills another, and restarts an entry
//! host. Then it compares what callers were told with what really ran, and
//! fails if a promise was broken.

mod load;
mod options;
mod promises;
mod report;
mod scenario;
mod tally;

use clap::ArgMatches;
use vg_cli::{Console, Exit, ExtraCommand};

use options::DemoOptions;

/// The command as the program adds it.
pub const EXTRA: ExtraCommand = ExtraCommand { command: options::command, run };

fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Exit {
    let options = DemoOptions::from(matches);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(scenario::run(&options)).map_err(|e| e.to_string()),
        Err(e) => Err(format!("cannot start threads: {e}")),
    };
    let shown = result.and_then(|outcome| {
        let kept = outcome.promises.iter().all(|promise| promise.broken == 0);
        report::write(console.out, &outcome).map_err(|e| e.to_string())?;
        Ok(kept)
    });
    match shown {
        Ok(true) => Exit::Success,
        Ok(false) => {
            let _ = writeln!(console.err, "verbenagap: demo: a promise was broken, see above");
            Exit::Failed
        }
        Err(error) => {
            // Without standard error the exit status still tells.
            let _ = writeln!(console.err, "verbenagap: demo: {error}");
            Exit::Failed
        }
    }
}
