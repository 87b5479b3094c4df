//! The operators' page on the settings.

use std::fmt::Write;

use crate::settings::TABLE;

const HEAD: &str = "# Settings of `verbenagapd`\n\n\
    Written from the table of settings in `vg-conf`; a test compares the two.\n\n\
    A settings file is INI and is named by `--config FILE`. Each setting is a\n\
    flag, too. A flag overrides the file, and the file overrides the default. The\n\
    settings are checked as a whole before anything starts: all errors are\n\
    reported at once, each with its file, line and key, and what is accepted.\n";

/// Returns the page as Markdown.
pub fn page() -> String {
    let mut page = HEAD.to_owned();
    let mut section = "";
    for setting in TABLE {
        if setting.section != section {
            section = setting.section;
            let table_head =
                "\n| key | flag | default | accepted | meaning |\n| - | - | - | - | - |\n";
            // Writing to a String can't fail.
            let _ = write!(page, "\n## `[{section}]`\n{table_head}");
        }
        let default = setting.default.map_or("required".to_owned(), |text| format!("`{text}`"));
        let _ = writeln!(
            page,
            "| `{}` | `--{}` | {default} | {} | {} |",
            setting.key,
            setting.name,
            setting.accepted,
            setting.help()
        );
    }
    page
}
