//! Tests of the command line: whole sessions against golden files, and changes
//! of the lists against a faulty store.

mod revise;
mod sessions;
mod support;
