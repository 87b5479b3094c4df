//! Every delay before a repeated call is known: docs/design/retries.md says who repeats what,
//! and why that can't keep a callee busy by itself.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Adds the constants of a source file, or of all files in a folder, whose names contain
/// `RETRY` and that are durations.
fn collect(path: &Path, found: &mut BTreeSet<String>) {
    if path.is_dir() {
        let entries = fs::read_dir(path).unwrap();
        return entries.for_each(|entry| collect(&entry.unwrap().path(), found));
    }
    if path.extension().is_none_or(|extension| extension != "rs") {
        return;
    }
    let file = path.strip_prefix(root()).unwrap().display().to_string();
    for line in fs::read_to_string(path).unwrap().lines() {
        let Some((_, constant)) = line.split_once("const ") else { continue };
        let Some((name, kind)) = constant.split_once(':') else { continue };
        if name.contains("RETRY") && kind.trim_start().starts_with("Duration") {
            found.insert(format!("`{file}` `{name}`"));
        }
    }
}

/// Guards against a repeated call that nobody has weighed: many items that each repeat a call
/// after a fixed delay keep a slow callee busy for ever.
#[test]
fn each_retry_delay_is_in_the_table() {
    let mut found = BTreeSet::new();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        collect(&entry.unwrap().path().join("src"), &mut found);
    }
    collect(&root().join("platform/src"), &mut found);
    let page = fs::read_to_string(root().join("docs/design/retries.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `")?.split(" |").next());
    let listed: BTreeSet<_> =
        rows.filter(|row| row.contains("/src/")).map(|row| format!("`{row}")).collect();
    let missing: Vec<_> = found.difference(&listed).collect();
    assert!(missing.is_empty(), "not in docs/design/retries.md: {missing:?}");
    let stale: Vec<_> = listed.difference(&found).collect();
    assert!(stale.is_empty(), "no such constant: {stale:?}");
}
