//! Several nodes, a store and a network in one process, and the oracle that
//! watches them.

pub(crate) mod op;
pub(crate) mod oracle;
pub(crate) mod process;
pub(crate) mod store;
pub(crate) mod world;

pub(crate) use world::World;

/// Turns a violation into a failed case.
pub(crate) fn fail(violation: &oracle::Violation) -> proptest::test_runner::TestCaseError {
    proptest::test_runner::TestCaseError::fail(format!("{violation:?}"))
}
