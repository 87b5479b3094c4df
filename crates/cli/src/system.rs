//! Access of commands to the operating system.

use std::io;
use std::path::Path;

use rand::TryRngCore;
use rand::rngs::OsRng;
use vg_base::SystemClock;
use vg_base::prelude::*;

/// The files, environment variables, clock and random numbers that commands use.
pub trait System {
    /// Reads a text file.
    ///
    /// # Errors
    ///
    /// As for [`std::fs::read_to_string`].
    fn read_file(&self, path: &Path) -> io::Result<String>;

    /// Returns an environment variable, or `None` if it is unset or empty.
    fn env_var(&self, name: &str) -> Option<String>;

    /// Returns the wall-clock time.
    fn wall_time(&self) -> SystemTime;

    /// Fills a buffer with cryptographically secure random bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system provides no random bytes.
    fn random(&self, bytes: &mut [u8]) -> io::Result<()>;
}

/// The real operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct OsSystem;

impl System for OsSystem {
    fn read_file(&self, path: &Path) -> io::Result<String> {
        std::fs::read_to_string(path)
    }

    fn env_var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok().filter(|value| !value.is_empty())
    }

    fn wall_time(&self) -> SystemTime {
        SystemClock.wall()
    }

    fn random(&self, bytes: &mut [u8]) -> io::Result<()> {
        OsRng.try_fill_bytes(bytes).map_err(io::Error::other)
    }
}
