//! The cases.

pub mod advice;
pub mod gang;
mod idle;
pub mod lasting;
pub mod suspects;
