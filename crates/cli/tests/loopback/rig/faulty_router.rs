//! A router with injected faults: system calls that fail, and a wall clock that is shifted.

use super::{RouterProcess, config_path};
use fault_control::Control;
use serde_json::Value as Json;
use std::path::{Path, PathBuf};

/// A router process with the preloaded library that injects faults.
pub struct FaultyRouter {
    pub process: RouterProcess,
    /// The control file through which the test requests faults.
    pub control: Control,
    /// The configuration file, which is removed once the router listens.
    pub config_file: TemporaryFile,
    _control_file: TemporaryFile,
    _operator_file: Option<TemporaryFile>,
}

impl FaultyRouter {
    /// Starts a router with this configuration and the faults that `prepare` requests, and waits until it listens.
    pub fn start(test_name: &str, config: &Json, prepare: impl FnOnce(&Control)) -> FaultyRouter {
        let mut router = FaultyRouter::spawn(test_name, config, prepare, None);
        router.process.wait_until_listening();
        std::fs::remove_file(&router.config_file.0).expect("the configuration file can be removed");
        router
    }

    /// Starts a router with this configuration, operator file and the faults that `prepare` requests, without waiting
    /// until it listens.
    pub fn spawn_with_operator_file(
        test_name: &str, config: &Json, operator_file: &str, prepare: impl FnOnce(&Control),
    ) -> FaultyRouter {
        let file = TemporaryFile(config_path(test_name).with_extension("ini"));
        file.write(operator_file);
        FaultyRouter::spawn(test_name, config, prepare, Some(file))
    }

    fn spawn(
        test_name: &str, config: &Json, prepare: impl FnOnce(&Control), operator_file: Option<TemporaryFile>,
    ) -> FaultyRouter {
        let config_file = TemporaryFile(config_path(test_name));
        let control_file = TemporaryFile(config_file.0.with_extension("faults"));
        config_file.write(&config.to_string());
        let control = Control::create(&control_file.0, 1).expect("the control file can be created");
        prepare(&control);
        let program = Path::new(env!("CARGO_BIN_EXE_query-router"));
        let mut command = fault_control::command(program, &control_file.0);
        if let Some(file) = &operator_file {
            command.env("YEWPIER_OPERATOR", &file.0);
        }
        let process = RouterProcess::spawn_command(command, &config_file.0);
        FaultyRouter {
            process,
            control,
            config_file,
            _control_file: control_file,
            _operator_file: operator_file,
        }
    }
}

/// A file that is removed on drop.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// Replaces the content of the file.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the file can be written");
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
