//! Stand-ins for the platform around host processes, and the cases of the review that are
//! scripts. Usage: `review-standin CASE RECORD`; run in the root of the repository, with
//! `TROUBLE=0` for a run without the disruption. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
#[macro_use]
mod json;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::time::Duration;

use crate::record::Record;

/// Time after which a case counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ends a case that can't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    std::panic::panic_any(CannotRun);
}

struct CannotRun;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: review-standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(Path::new(&path)) else {
        eprintln!("cannot write {path}");
        std::process::exit(2);
    };
    record.line(format_args!("case {case}, {}", if trouble { "disrupted" } else { "undisturbed" }));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("cannot run: the case takes more than {TIME_LIMIT:?}");
        deployment::end_all_hosts();
        std::process::exit(2);
    });
    let run = std::panic::AssertUnwindSafe(|| cases::run(&case, &record, trouble));
    let broken = std::panic::catch_unwind(run);
    deployment::end_all_hosts();
    let Ok(Some(broken)) = broken else { std::process::exit(2) };
    for each in &broken {
        record.line(format_args!("BROKEN: {each}"));
        println!("{each}");
    }
    record.line(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    std::process::exit(i32::from(!broken.is_empty()));
}
