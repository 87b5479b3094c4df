//! The program `verbenagap-standin`.

use std::io::Write;
use std::process::ExitCode;

/// Runs the program.
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
            // Without standard error the exit status still tells.
            let _ = writeln!(std::io::stderr(), "verbenagap-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
