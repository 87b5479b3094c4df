//! A fake operating system with the files of the golden sessions, a clock that
//! advances by a second with each reading, and predictable random bytes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use vg_cli::System;

/// Seconds between the Unix epoch and the first reading of the clock.
const START_SECONDS: u64 = 1_767_600_000;

#[derive(Debug, Default)]
pub(crate) struct FakeSystem {
    files: PathBuf,
    pub(crate) vars: RefCell<BTreeMap<String, String>>,
    seconds: Cell<u64>,
    bytes: Cell<u8>,
}

impl FakeSystem {
    pub(crate) fn new(files: PathBuf) -> FakeSystem {
        FakeSystem { files, ..FakeSystem::default() }
    }
}

impl System for FakeSystem {
    fn read_file(&self, path: &Path) -> io::Result<String> {
        std::fs::read_to_string(self.files.join(path))
    }

    fn env_var(&self, name: &str) -> Option<String> {
        self.vars.borrow().get(name).cloned()
    }

    fn wall_time(&self) -> SystemTime {
        self.seconds.set(self.seconds.get() + 1);
        SystemTime::UNIX_EPOCH + Duration::from_secs(START_SECONDS + self.seconds.get())
    }

    fn random(&self, bytes: &mut [u8]) -> io::Result<()> {
        self.bytes.set(self.bytes.get() + 1);
        bytes.fill(self.bytes.get());
        Ok(())
    }
}
