//! The page docs/design/proofs.md names each belief that lets a task start, and the tests that
//! play it.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Number of underscores from which a word on the page is the name of a test.
const TEST_NAME_UNDERSCORES: usize = 5;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/design/proofs.md")).unwrap()
}

/// Adds the names of the functions in a source file, or in all files in a folder.
fn collect(path: &Path, found: &mut BTreeSet<String>) {
    if path.is_dir() {
        let entries = fs::read_dir(path).unwrap();
        return entries.for_each(|entry| collect(&entry.unwrap().path(), found));
    }
    if path.extension().is_none_or(|extension| extension != "rs") {
        return;
    }
    for line in fs::read_to_string(path).unwrap().lines() {
        let Some((_, rest)) = line.split_once("fn ") else { continue };
        found.extend(rest.split_once('(').map(|(name, _)| name.to_owned()));
    }
}

/// Guards against a belief that the page calls ruled out by a test which is gone.
#[test]
fn each_test_that_the_page_of_proofs_names_exists() {
    let mut found = BTreeSet::new();
    for name in ["flow", "lead", "net"] {
        collect(&root().join("crates").join(name).join("tests"), &mut found);
    }
    let page = page();
    let words = page.split('`').skip(1).step_by(2);
    let named = words.filter(|word| word.matches('_').count() >= TEST_NAME_UNDERSCORES);
    let named: BTreeSet<_> = named.map(str::to_owned).collect();
    assert!(!named.is_empty());
    let missing: Vec<_> = named.difference(&found).collect();
    assert!(missing.is_empty(), "no such test: {missing:?}");
}

/// Guards against a proof or a ground in the log that the page does not explain.
#[test]
fn each_ground_in_the_log_is_on_the_page_of_proofs() {
    let page = page();
    let sources = ["workers/proof.rs", "workers/releases.rs", "action.rs"];
    let mut missing = Vec::new();
    for source in sources {
        let code = fs::read_to_string(root().join("crates/flow/src").join(source)).unwrap();
        // Others are made of these.
        let is_whole = |name: &str| !name.contains('{');
        for line in code.lines().take_while(|line| !line.contains("enum StopReason")) {
            let Some((_, rest)) = line.split_once("#[display(\"") else { continue };
            let Some((name, _)) = rest.split_once('"') else { continue };
            let is_named = page.contains(&format!("| `{name}`"));
            missing.extend((is_whole(name) && !is_named).then(|| name.to_owned()));
        }
    }
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}
