//! Guards against a page `docs/EVENTS.md` that differs from the codes, which
//! happens when a code is changed and the page is not regenerated.
//!
//! `VG_GOLDEN=write` writes the page.

use std::path::Path;

#[test]
fn events_page_matches_the_codes() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    if std::env::var_os("VG_GOLDEN").is_some_and(|value| value == "write") {
        std::fs::write(&path, vg_events::catalogue()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), vg_events::catalogue());
}
