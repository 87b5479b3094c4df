//! The page of all events for operators.

use std::fmt::Write;

use crate::Code;

/// Returns the text of the page `docs/EVENTS.md`, generated from [`Code::ALL`].
pub fn catalogue() -> String {
    let mut page = String::from(
        "# Events\n\n\
         Every line of a log and of the time line is one of these events. Numbers are never\n\
         used again. The page is made from the code; a test keeps them alike.\n\n\
         | number | name | level | meaning |\n| --- | --- | --- | --- |\n",
    );
    for code in Code::ALL {
        let (number, name) = (code.number(), code.name());
        let level = format!("{:?}", code.level()).to_lowercase();
        // Writing to a `String` can't fail.
        let _ = writeln!(page, "| E{number} | `{name}` | {level} | {} |", code.meaning().trim());
    }
    page
}
