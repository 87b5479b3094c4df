//! The cases.

pub mod advice;
pub mod gang;
pub mod lasting;
