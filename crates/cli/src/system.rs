//! What a command takes from the operating system.

use std::io;
use std::path::Path;

use rand::TryRngCore;
use rand::rngs::OsRng;
use vg_base::SystemClock;
use vg_base::prelude::*;

/// Files, environment, time and randomness.
pub trait System {
    /// Reads a text file.
    ///
    /// # Errors
    ///
    /// As [`std::fs::read_to_string`].
    fn read(&self, path: &Path) -> io::Result<String>;

    /// Returns a variable of the environment.
    fn var(&self, name: &str) -> Option<String>;

    /// Returns the wall time.
    fn wall(&self) -> SystemTime;

    /// Fills a buffer with bytes that nobody can guess.
    ///
    /// # Errors
    ///
    /// If the operating system gives none.
    fn random(&self, bytes: &mut [u8]) -> io::Result<()>;
}

/// The operating system itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct OsSystem;

impl System for OsSystem {
    fn read(&self, path: &Path) -> io::Result<String> {
        std::fs::read_to_string(path)
    }

    fn var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok().filter(|value| !value.is_empty())
    }

    fn wall(&self) -> SystemTime {
        SystemClock.wall()
    }

    fn random(&self, bytes: &mut [u8]) -> io::Result<()> {
        OsRng.try_fill_bytes(bytes).map_err(io::Error::other)
    }
}
