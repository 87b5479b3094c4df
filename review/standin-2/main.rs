//! Plays one case of the review and exits with 0 if the rule held, 1 if it was broken and 2 if
//! the case couldn't run.

mod cases;
mod cloud;
mod host;
mod http;
mod json;
mod link;
mod record;
mod site;
mod store;
mod worker;

use std::path::Path;

use crate::record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(file)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(file)) else {
        eprintln!("cannot write {file}");
        std::process::exit(2);
    };
    let held = match case.as_str() {
        "moved" => cases::moved(trouble, &record),
        "late" => cases::late(trouble, &record),
        "renamed" => cases::renamed(trouble, &record),
        "silent" => cases::silent(trouble, &record),
        "lengthened" => cases::lengthened(trouble, &record),
        _ => Err(format!("no such case: {case}")),
    };
    let status = match &held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    let verdict = match held {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(reason) => format!("the case couldn't run: {reason}"),
    };
    record.line(format!("verdict: {verdict}"));
    println!("{verdict}");
    std::process::exit(status);
}
