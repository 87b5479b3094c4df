//! Fakes shared by the tests.

pub(crate) mod faulty;
pub(crate) mod node;
pub(crate) mod session;
pub(crate) mod system;
