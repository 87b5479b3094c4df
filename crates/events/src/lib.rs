//! Numbered events, which make up the logs and the time line.
//!
//! Every process records what it does as events with a number, a name and
//! fields. A [`Recorder`] writes each event to the log and keeps the latest
//! events in bounded memory. Stamps of a [`HybridClock`] order the events of
//! several processes so that a cause comes before its effect.

mod catalogue;
mod code;
mod event;
mod lines;
mod recorder;
mod stamp;

pub use catalogue::catalogue;
pub use code::{Code, Level};
pub use event::{Event, Field};
pub use lines::{ATOMIC_WRITE_BYTES, line_chunks};
pub use recorder::{Recorder, Window};
pub use stamp::{HybridClock, Stamp};
