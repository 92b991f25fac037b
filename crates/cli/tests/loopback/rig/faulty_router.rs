//! A router whose system calls fail and whose wall clock is wrong as a test says.

use super::{RouterProcess, config_path};
use fault_control::Control;
use serde_json::Value as Json;
use std::path::{Path, PathBuf};

/// A router started with the library that injects faults.
pub struct FaultyRouter {
    pub process: RouterProcess,
    /// What the library is asked to do.
    pub control: Control,
    /// The configuration file, which is removed once the router listens.
    pub config_file: TemporaryFile,
    _control_file: TemporaryFile,
}

/// A file that is removed in the end.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// Writes the file.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("a file");
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

impl FaultyRouter {
    /// Starts a router with this configuration, under what `prepare` asks for, and waits until it listens.
    pub fn start(test_name: &str, config: &Json, prepare: impl FnOnce(&Control)) -> FaultyRouter {
        let config_path = config_path(test_name);
        let control_path = config_path.with_extension("faults");
        std::fs::write(&config_path, config.to_string()).expect("a file");
        let control = Control::create(&control_path, 1).expect("a control file");
        prepare(&control);
        let program = Path::new(env!("CARGO_BIN_EXE_query-router"));
        let command = fault_control::command(program, &control_path);
        let mut process = RouterProcess::spawn_command(command, &config_path);
        process.wait_until_listening();
        std::fs::remove_file(&config_path).expect("the file is read by now");
        FaultyRouter {
            process,
            control,
            config_file: TemporaryFile(config_path),
            _control_file: TemporaryFile(control_path),
        }
    }
}
