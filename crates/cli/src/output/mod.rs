//! Rendering of reports as text, with tables and colours.

mod printable;
mod report;
mod style;
mod table;
mod time;

pub(crate) use printable::Printable;
pub(crate) use report::Report;
pub(crate) use style::Style;
pub(crate) use table::Table;
pub(crate) use time::{utc, utc_micros};
