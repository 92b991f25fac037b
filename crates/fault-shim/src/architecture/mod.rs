//! What differs between the supported architectures: the kernel's identifier, the system calls that exist, the registers
//! that hold them, and the instruction that enters the kernel.

#[cfg(target_arch = "aarch64")]
mod aarch64;
#[cfg(target_arch = "x86_64")]
mod x86_64;

#[cfg(target_arch = "aarch64")]
pub use aarch64::{
    AUDIT_ARCHITECTURE, FILTERED_CALLS, interrupted_call, raw_call, return_address, set_result,
    specific_call_group,
};
#[cfg(target_arch = "x86_64")]
pub use x86_64::{
    AUDIT_ARCHITECTURE, FILTERED_CALLS, interrupted_call, raw_call, return_address, set_result,
    specific_call_group,
};

/// A system call that the filter interrupted.
pub struct InterruptedCall {
    /// The number of the call.
    pub number: libc::c_long,
    /// The arguments of the call.
    pub arguments: [i64; 6],
}
