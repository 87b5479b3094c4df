//! Plays one script case of the review. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod adviser;
mod cases;
mod deployment;
mod floor;
mod hosts;
mod plan;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::deployment::Failure;

/// Time after which a case is given up; its processes end with this one.
const TIME_LIMIT: Duration = Duration::from_secs(115);

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match tokio::time::timeout(TIME_LIMIT, play(&case, PathBuf::from(dir), trouble)).await {
        Ok(Ok(true)) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(false)) => {
            println!("the rule was broken");
            ExitCode::FAILURE
        }
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => {
            eprintln!("the case took too long");
            ExitCode::from(2)
        }
    }
}

async fn play(case: &str, dir: PathBuf, trouble: bool) -> Result<bool, Failure> {
    match case {
        "gang" => cases::gang::play(&dir, trouble).await,
        "lasting" => cases::lasting::play(&dir, trouble).await,
        "suspects" => cases::suspects::play(&dir, trouble).await,
        "advice" => cases::advice::play(&dir, trouble).await,
        _ => Err(format!("there is no case {case}").into()),
    }
}
