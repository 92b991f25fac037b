//! A configuration file whose content the router receives at a time that the test chooses.

use super::{MAX_WAIT, config_path};
use rustix::fs::{CWD, FileType, Mode, OFlags, mknodat, open};
use std::fs::File;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A named pipe in place of a configuration file. A router that reads it blocks until the test has written the content
/// and closed the pipe. The pipe is removed on drop.
pub struct BlockingConfigFile(PathBuf);

impl BlockingConfigFile {
    /// Creates the pipe at a path that contains the name of the test.
    pub fn new(test_name: &str) -> BlockingConfigFile {
        let path = config_path(test_name);
        mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a named pipe can be created");
        BlockingConfigFile(path)
    }

    /// Returns the path of the pipe, to start a router with.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }

    /// Waits until a router has opened the pipe, and returns the end to write to.
    pub fn wait_for_reader(&self) -> File {
        let started = Instant::now();
        loop {
            // Opening fails until a reader has opened the pipe.
            let options = OFlags::WRONLY | OFlags::NONBLOCK;
            if let Ok(file) = open(&self.0, options, Mode::empty()) {
                return File::from(file);
            }
            assert!(started.elapsed() < MAX_WAIT, "the router did not open its configuration file in time");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for BlockingConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
