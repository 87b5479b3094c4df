//! The program `verbenagap-standin`: local substitutes for the platform's services.

use std::io::Write;
use std::process::ExitCode;

/// Runs the program until it is stopped and returns its exit status.
pub fn main() -> ExitCode {
    let matches = vg_standin::command().version(env!("CARGO_PKG_VERSION")).get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(vg_standin::run(&matches)).map_err(|e| e.to_string()),
        Err(e) => Err(format!("cannot start threads: {e}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error is closed, the exit status still reports the failure.
            let _ = writeln!(std::io::stderr(), "verbenagap-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
