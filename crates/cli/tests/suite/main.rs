//! Tests of the command line: whole sessions that are compared with golden files,
//! and changes of the lists in a faulty store.

mod revision;
mod sessions;
mod support;
