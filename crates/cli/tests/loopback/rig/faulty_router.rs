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
    _operator_file: Option<TemporaryFile>,
}

impl FaultyRouter {
    /// Starts a router with this configuration, under what `prepare` asks for, and waits until it listens.
    pub fn start(test_name: &str, config: &Json, prepare: impl FnOnce(&Control)) -> FaultyRouter {
        let mut router = FaultyRouter::spawn(test_name, config, prepare, None);
        router.process.wait_until_listening();
        std::fs::remove_file(&router.config_file.0).expect("the file is read by now");
        router
    }

    /// Starts a router with this configuration and this operator's file, and waits for nothing.
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
        let control = Control::create(&control_file.0, 1).expect("a control file");
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
