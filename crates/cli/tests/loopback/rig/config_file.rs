//! A configuration file that the router reads as slowly as the test wants.

use super::{MAX_WAIT, config_path};
use rustix::fs::{CWD, FileType, Mode, OFlags, mknodat, open};
use std::fs::File;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A named pipe in place of a configuration file: the router blocks in its reading until the test has
/// written.
pub struct BlockingConfigFile(PathBuf);

impl BlockingConfigFile {
    /// Creates the pipe.
    pub fn new(test_name: &str) -> BlockingConfigFile {
        let path = config_path(test_name);
        mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a pipe");
        BlockingConfigFile(path)
    }

    /// The path to start a router with.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }

    /// Waits until a router has begun to read, and returns the end to write to.
    pub fn wait_for_reader(&self) -> File {
        let started = Instant::now();
        loop {
            // Opening fails as long as nobody reads the pipe.
            let options = OFlags::WRONLY | OFlags::NONBLOCK;
            if let Ok(file) = open(&self.0, options, Mode::empty()) {
                return File::from(file);
            }
            assert!(started.elapsed() < MAX_WAIT, "nobody reads the configuration");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for BlockingConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
