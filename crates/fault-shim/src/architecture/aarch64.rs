//! The system calls of arm64. They are executed from one fixed address, which the filter allows.

use super::InterruptedCall;
use fault_control::Call;
use libc::{c_long, ucontext_t};
use std::arch::global_asm;

/// The kernel's identifier of this architecture in `seccomp_data` (`AUDIT_ARCH_AARCH64`).
pub const AUDIT_ARCHITECTURE: u32 = 0xc000_00b7;

/// The register that holds the number of a system call.
const NUMBER_REGISTER: usize = 8;
/// The register that holds the first argument of a system call, and then its result.
const RESULT_REGISTER: usize = 0;

/// The system calls that raise SIGSYS. This architecture has neither `open` nor `epoll_wait`; the C library calls
/// `openat` and `epoll_pwait` instead.
pub const FILTERED_CALLS: [c_long; 18] = [
    libc::SYS_read,
    libc::SYS_write,
    libc::SYS_readv,
    libc::SYS_writev,
    libc::SYS_accept,
    libc::SYS_accept4,
    libc::SYS_socket,
    libc::SYS_connect,
    libc::SYS_recvfrom,
    libc::SYS_recvmsg,
    libc::SYS_sendto,
    libc::SYS_sendmsg,
    libc::SYS_getsockopt,
    libc::SYS_setsockopt,
    libc::SYS_getpeername,
    libc::SYS_epoll_pwait,
    libc::SYS_epoll_ctl,
    libc::SYS_openat,
];

global_asm!(
    ".text",
    ".hidden fault_shim_raw_call",
    ".globl fault_shim_raw_call",
    "fault_shim_raw_call:",
    "mov x8, x0",
    "mov x0, x1",
    "mov x1, x2",
    "mov x2, x3",
    "mov x3, x4",
    "mov x4, x5",
    "mov x5, x6",
    "svc #0",
    ".hidden fault_shim_raw_call_return",
    ".globl fault_shim_raw_call_return",
    "fault_shim_raw_call_return:",
    "ret",
);

unsafe extern "C" {
    fn fault_shim_raw_call(number: i64, a: i64, b: i64, c: i64, d: i64, e: i64, f: i64) -> i64;
    static fault_shim_raw_call_return: u8;
}

/// Executes a system call and returns the kernel's result, which for an error is the negated `errno` value.
///
/// # Safety
///
/// The requirements of the system call apply.
pub unsafe fn raw_call(number: i64, arguments: [i64; 6]) -> i64 {
    let [a, b, c, d, e, f] = arguments;
    // SAFETY: the caller meets the requirements of the system call.
    unsafe { fault_shim_raw_call(number, a, b, c, d, e, f) }
}

/// Returns the address of the instruction after `svc`, which the kernel reports to the filter as the instruction
/// pointer.
pub fn return_address() -> u64 {
    &raw const fault_shim_raw_call_return as u64
}

/// Returns the system call that the filter interrupted in this context.
pub fn interrupted_call(context: &ucontext_t) -> InterruptedCall {
    let registers = &context.uc_mcontext.regs;
    let arguments = std::array::from_fn(|index| registers[index] as i64);
    InterruptedCall { number: registers[NUMBER_REGISTER] as c_long, arguments }
}

/// Sets the result with which the interrupted system call returns.
pub fn set_result(context: &mut ucontext_t, result: i64) {
    context.uc_mcontext.regs[RESULT_REGISTER] = result as u64;
}

/// Returns the group of a call that only some architectures have; this one has none.
pub fn specific_call_group(_number: c_long) -> Option<Call> {
    None
}
