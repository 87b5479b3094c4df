//! The demo as a process: what it prints, with numbers normalised, is the same
//! for each run. `VG_GOLDEN=write` writes the golden files anew.

use std::path::Path;
use std::process::Command;

fn run(args: &[&str], dir: &Path) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_verbenagap"))
        .arg("demo")
        .args(args)
        .current_dir(dir)
        .output()
        .unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    (output.status.code().unwrap(), text)
}

/// Keeps what a reader relies on: which rows there are, and what must be zero.
fn normalise(text: &str) -> String {
    let number = |word: &str| word.parse::<f64>().is_ok() || word == "-";
    let line = |line: &str| {
        let promise = line.split_whitespace().last() == Some("0") && !line.contains('.');
        let mut words: Vec<&str> = Vec::new();
        for word in line.split_whitespace() {
            // Refusals differ from run to run.
            if words.iter().filter(|word| **word == "N").count() == 6 {
                break;
            }
            words.push(if number(word) { "N" } else { word });
        }
        if promise && words.len() > 3 {
            words.pop();
            words.push("0");
        }
        words.join(" ")
    };
    let kept = text.lines().filter(|line| !line.starts_with("acknowledged jobs:"));
    kept.map(|each| line(each) + "\n").collect()
}

fn check(site: &str) {
    let dir = tempfile::tempdir().unwrap();
    let args = ["--site", site, "--seed", "1", "--timeline", "line.json"];
    let (status, text) = run(&args, dir.path());
    assert_eq!(status, 0, "{text}");
    let events: serde_json::Value =
        serde_json::from_slice(&std::fs::read(dir.path().join("line.json")).unwrap()).unwrap();
    assert!(events.as_array().unwrap().len() > 1000, "the time line is short");
    let name = format!("tests/golden/demo-{site}.session");
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    let text = normalise(&text);
    if std::env::var_os("VG_GOLDEN").is_some_and(|value| value == "write") {
        std::fs::write(&path, &text).unwrap();
    }
    assert_eq!(text, std::fs::read_to_string(&path).unwrap(), "differs from {}", path.display());
}

#[test]
fn the_demo_of_the_recall_platform_keeps_every_promise() {
    check("recall");
}

#[test]
fn the_demo_of_the_booking_service_keeps_every_promise() {
    check("signbridge");
}

#[test]
fn wrong_flags_are_refused() {
    let dir = tempfile::tempdir().unwrap();
    let (status, text) = run(&["--site", "elsewhere"], dir.path());
    assert_eq!(status, 2, "{text}");
    assert!(text.contains("recall"), "{text}");
    let (status, text) = run(&["--seed", "one"], dir.path());
    assert_eq!(status, 2, "{text}");
}
