//! The system calls of x86-64. They are executed from one fixed address, which the filter allows.

use super::InterruptedCall;
use fault_control::Call;
use libc::{c_long, ucontext_t};
use std::arch::global_asm;

/// The kernel's identifier of this architecture in `seccomp_data` (`AUDIT_ARCH_X86_64`).
pub const AUDIT_ARCHITECTURE: u32 = 0xc000_003e;

/// The system calls that raise SIGSYS.
pub const FILTERED_CALLS: [c_long; 20] = [
    libc::SYS_read,
    libc::SYS_write,
    libc::SYS_open,
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
    libc::SYS_epoll_wait,
    libc::SYS_epoll_pwait,
    libc::SYS_epoll_ctl,
    libc::SYS_openat,
];

global_asm!(
    ".text",
    ".hidden fault_shim_raw_call",
    ".globl fault_shim_raw_call",
    "fault_shim_raw_call:",
    "mov rax, rdi",
    "mov rdi, rsi",
    "mov rsi, rdx",
    "mov rdx, rcx",
    "mov r10, r8",
    "mov r8, r9",
    "mov r9, [rsp + 8]",
    "syscall",
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

/// Returns the address of the instruction after `syscall`, which the kernel reports to the filter as the instruction
/// pointer.
pub fn return_address() -> u64 {
    &raw const fault_shim_raw_call_return as u64
}

/// Returns the system call that the filter interrupted in this context.
pub fn interrupted_call(context: &ucontext_t) -> InterruptedCall {
    let registers = &context.uc_mcontext.gregs;
    let arguments = [libc::REG_RDI, libc::REG_RSI, libc::REG_RDX, libc::REG_R10, libc::REG_R8, libc::REG_R9]
        .map(|register| registers[register as usize]);
    InterruptedCall { number: registers[libc::REG_RAX as usize], arguments }
}

/// Sets the result with which the interrupted system call returns.
pub fn set_result(context: &mut ucontext_t, result: i64) {
    context.uc_mcontext.gregs[libc::REG_RAX as usize] = result;
}

/// Returns the group of a call that only some architectures have; `None` for all other calls.
pub fn specific_call_group(number: c_long) -> Option<Call> {
    match number {
        libc::SYS_epoll_wait => Some(Call::Wait),
        libc::SYS_open => Some(Call::Open),
        _ => None,
    }
}
