//! Makes system calls of a process under test fail, transfer fewer bytes than requested, or take longer, and shifts
//! its wall clock. The process is started with this library in `LD_PRELOAD` and the path of a control file in
//! [`CONTROL_VARIABLE`](fault_control::CONTROL_VARIABLE); the test changes the file through
//! [`fault_control::Control`] while the process runs.
//!
//! At load time the library installs a seccomp filter on its own process, which needs no privileges. The filtered calls
//! raise SIGSYS, whose handler either fails the call or executes it from the one address that the filter allows. This
//! also covers calls that bypass the C library. If the variable is not set, the library does nothing.
//!
//! Linux on x86-64 and on arm64 is supported. On other platforms the library loads and does nothing, and
//! [`IS_SUPPORTED`](fault_control::IS_SUPPORTED) is false.

#![warn(missing_docs)]

#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
mod architecture;
#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
mod filter;
#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
mod handler;
#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
mod wall_clock;

#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
use fault_control::Control;

/// Makes the dynamic linker run [`initialize`] when it loads the library or a program that links the library.
#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZE: extern "C" fn() = initialize;

#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
extern "C" fn initialize() {
    let Some(path) = std::env::var_os(fault_control::CONTROL_VARIABLE) else { return };
    match Control::open(path.as_ref()) {
        Ok(control) => {
            let control: &'static Control = Box::leak(Box::new(control));
            wall_clock::install(control);
            handler::install(control);
            filter::install();
        }
        Err(error) => {
            eprintln!("fault-shim: cannot map the control file {}: {error}", path.to_string_lossy());
            std::process::abort();
        }
    }
}
