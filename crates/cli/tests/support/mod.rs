//! Fakes shared by the tests.

pub mod faulty;
