//! Executes system calls from one fixed address, which the filter allows.

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
