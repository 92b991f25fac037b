//! The system-call filter: raises SIGSYS for the calls that may get a fault.

use crate::handler::FILTERED_CALLS;
use crate::raw_call::return_address;
use libc::sock_filter;

/// The architecture of x86-64 as the kernel reports it to filters.
const AUDIT_ARCH_X86_64: u32 = 0xc000_003e;
/// The offsets of the fields of `seccomp_data`.
const OFFSET_NUMBER: u32 = 0;
const OFFSET_ARCHITECTURE: u32 = 4;
const OFFSET_INSTRUCTION_LOW: u32 = 8;
const OFFSET_INSTRUCTION_HIGH: u32 = 12;

fn load(offset: u32) -> sock_filter {
    let code = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
    sock_filter { code, jt: 0, jf: 0, k: offset }
}

fn jump_if_equal(value: u32, if_equal: u8, otherwise: u8) -> sock_filter {
    let code = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    sock_filter { code, jt: if_equal, jf: otherwise, k: value }
}

fn end_with(action: u32) -> sock_filter {
    sock_filter { code: (libc::BPF_RET | libc::BPF_K) as u16, jt: 0, jf: 0, k: action }
}

/// Calls from [`return_address`] and calls that are not filtered pass; the others raise SIGSYS.
fn program() -> Vec<sock_filter> {
    let address = return_address();
    let count = FILTERED_CALLS.len() as u8;
    let mut program = vec![
        load(OFFSET_ARCHITECTURE),
        jump_if_equal(AUDIT_ARCH_X86_64, 0, 5 + count),
        load(OFFSET_INSTRUCTION_LOW),
        jump_if_equal(address as u32, 0, 2),
        load(OFFSET_INSTRUCTION_HIGH),
        jump_if_equal((address >> 32) as u32, 1 + count, 0),
        load(OFFSET_NUMBER),
    ];
    for (index, &number) in FILTERED_CALLS.iter().enumerate() {
        let to_trap = count - index as u8;
        program.push(jump_if_equal(number as u32, to_trap, 0));
    }
    program.push(end_with(libc::SECCOMP_RET_ALLOW));
    program.push(end_with(libc::SECCOMP_RET_TRAP));
    program
}

/// Installs the filter on the process; aborts it if the system does not allow that.
pub fn install() {
    let mut program = program();
    let filter = libc::sock_fprog { len: program.len() as u16, filter: program.as_mut_ptr() };
    // SAFETY: both calls take plain values and a program that lives until they return.
    let installed = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &raw const filter, 0, 0) == 0
    };
    if !installed {
        eprintln!("fault-shim: the filter was refused: {}", std::io::Error::last_os_error());
        std::process::abort();
    }
}
