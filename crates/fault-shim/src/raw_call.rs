//! System calls from one known address, which the filter lets through.

use std::arch::global_asm;

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

/// Carries out a system call; the result is negative for an error, as the kernel returns it.
///
/// # Safety
///
/// As for the system call.
pub unsafe fn raw_call(number: i64, arguments: [i64; 6]) -> i64 {
    let [a, b, c, d, e, f] = arguments;
    // SAFETY: the caller vouches for the arguments.
    unsafe { fault_shim_raw_call(number, a, b, c, d, e, f) }
}

/// The address of the instruction behind the one that enters the kernel, which the kernel reports to the filter.
pub fn return_address() -> u64 {
    &raw const fault_shim_raw_call_return as u64
}
