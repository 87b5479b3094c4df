//! The operators' page of events says what the code says.

use std::path::Path;

#[test]
fn the_page_is_made_from_the_codes() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    if std::env::var_os("VG_GOLDEN").is_some_and(|value| value == "write") {
        std::fs::write(&path, vg_events::catalogue()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), vg_events::catalogue());
}
