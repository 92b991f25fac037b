//! Makes system calls of a process under test fail, return less than was asked for, or take long, and shifts or steps
//! its wall clock. The process is started with this library in `LD_PRELOAD` and a control file in
//! [`CONTROL_VARIABLE`](fault_control::CONTROL_VARIABLE); the test changes the file while the process runs
//! ([`fault_control::Control`]).
//!
//! At load time the library installs a system-call filter on its own process, without special rights: the filtered calls
//! raise SIGSYS, whose handler either fails the call or carries it out from the one address that the filter lets
//! through. Calls that bypass the C library are covered as well. Without the variable the library does nothing.
//!
//! Only x86-64 is supported. On other machines the library loads and does nothing, and [`IS_SUPPORTED`](fault_control::IS_SUPPORTED) says so.

#![warn(missing_docs)]

#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
mod filter;
#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
mod handler;
#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
mod raw_call;
#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
mod wall_clock;

#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
use fault_control::Control;

/// Run by the dynamic linker when the library, or a program that contains it, is loaded.
#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZE: extern "C" fn() = initialize;

#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
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
            eprintln!("fault-shim: {}: {error}", path.to_string_lossy());
            std::process::abort();
        }
    }
}
