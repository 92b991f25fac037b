//! The system-call filter (seccomp), which raises SIGSYS for the calls that may get a fault.

use crate::architecture::{AUDIT_ARCHITECTURE, FILTERED_CALLS, return_address};
use libc::sock_filter;

// Offsets of the fields of `seccomp_data`, in bytes.
const OFFSET_NUMBER: u32 = 0;
const OFFSET_ARCHITECTURE: u32 = 4;
const OFFSET_INSTRUCTION_LOW: u32 = 8;
const OFFSET_INSTRUCTION_HIGH: u32 = 12;

fn load_word(offset: u32) -> sock_filter {
    let code = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
    sock_filter { code, jt: 0, jf: 0, k: offset }
}

fn jump_if_equal(value: u32, if_equal: u8, otherwise: u8) -> sock_filter {
    let code = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    sock_filter { code, jt: if_equal, jf: otherwise, k: value }
}

fn return_action(action: u32) -> sock_filter {
    sock_filter { code: (libc::BPF_RET | libc::BPF_K) as u16, jt: 0, jf: 0, k: action }
}

/// Returns the filter program. It allows calls from [`return_address`], calls of another architecture and calls that
/// are not in [`FILTERED_CALLS`]; the others raise SIGSYS.
fn filter_program() -> Vec<sock_filter> {
    let address = return_address();
    let call_count = FILTERED_CALLS.len() as u8;
    let mut program = vec![
        load_word(OFFSET_ARCHITECTURE),
        jump_if_equal(AUDIT_ARCHITECTURE, 0, 5 + call_count),
        load_word(OFFSET_INSTRUCTION_LOW),
        jump_if_equal(address as u32, 0, 2),
        load_word(OFFSET_INSTRUCTION_HIGH),
        jump_if_equal((address >> 32) as u32, 1 + call_count, 0),
        load_word(OFFSET_NUMBER),
    ];
    for (index, &number) in FILTERED_CALLS.iter().enumerate() {
        let to_trap = call_count - index as u8;
        program.push(jump_if_equal(number as u32, to_trap, 0));
    }
    program.push(return_action(libc::SECCOMP_RET_ALLOW));
    program.push(return_action(libc::SECCOMP_RET_TRAP));
    program
}

/// Installs the filter on the process; aborts the process if the kernel refuses the filter.
pub fn install() {
    let mut program = filter_program();
    let filter = libc::sock_fprog { len: program.len() as u16, filter: program.as_mut_ptr() };
    // SAFETY: both calls take integers and a filter program that lives until they return.
    let installed = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &raw const filter, 0, 0) == 0
    };
    if !installed {
        eprintln!("fault-shim: cannot install the system-call filter: {}", std::io::Error::last_os_error());
        std::process::abort();
    }
}
