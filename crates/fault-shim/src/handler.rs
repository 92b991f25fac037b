//! The handler of SIGSYS, which fails, shortens or delays a filtered system call, or executes it unchanged.

use crate::architecture::{InterruptedCall, interrupted_call, raw_call, set_result, specific_call_group};
use fault_control::{Call, Control, Fault};
use libc::{c_int, c_long, c_void, siginfo_t, ucontext_t};
use std::sync::atomic::{AtomicPtr, Ordering};

static CONTROL: AtomicPtr<Control> = AtomicPtr::new(std::ptr::null_mut());

/// Installs the handler of SIGSYS, which injects the faults that the control file sets.
pub fn install(control: &'static Control) {
    CONTROL.store(std::ptr::from_ref(control).cast_mut(), Ordering::SeqCst);
    // SAFETY: the action is fully initialized, and the handler does not allocate.
    let installed = unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        action.sa_sigaction = handle as *const () as usize;
        action.sa_flags = libc::SA_SIGINFO | libc::SA_NODEFER;
        libc::sigaction(libc::SIGSYS, &raw const action, std::ptr::null_mut()) == 0
    };
    if !installed {
        std::process::abort();
    }
}

extern "C" fn handle(_signal: c_int, _info: *mut siginfo_t, context: *mut c_void) {
    // SAFETY: the kernel passes a valid context of the interrupted thread, and the control file is never unmapped.
    let (context, control) =
        unsafe { (&mut *context.cast::<ucontext_t>(), &*CONTROL.load(Ordering::SeqCst)) };
    let InterruptedCall { number, arguments } = interrupted_call(context);
    set_result(context, execute_call(control, number, arguments));
}

fn execute_call(control: &Control, number: c_long, arguments: [i64; 6]) -> i64 {
    let fault = call_group(number, &arguments).and_then(|call| control.choose_fault(call));
    match fault {
        Some(Fault::Error(error)) => return -i64::from(error),
        Some(Fault::Short) => return execute_short_call(number, arguments),
        Some(Fault::Delay) => sleep_ms(control.delay_ms()),
        None => {}
    }
    // SAFETY: the arguments are those that the process under test passed.
    unsafe { raw_call(number, arguments) }
}

/// Returns the group of a call; `None` if no fault can be injected into the call.
fn call_group(number: c_long, arguments: &[i64; 6]) -> Option<Call> {
    let descriptor = arguments[0];
    Some(match number {
        libc::SYS_accept | libc::SYS_accept4 => Call::Accept,
        libc::SYS_socket => Call::Socket,
        libc::SYS_connect => Call::Connect,
        libc::SYS_recvfrom if arguments[3] & i64::from(libc::MSG_PEEK) != 0 => Call::Peek,
        libc::SYS_recvfrom | libc::SYS_recvmsg => Call::Receive,
        libc::SYS_read | libc::SYS_readv if is_socket(descriptor) => Call::Receive,
        libc::SYS_read if is_anonymous_inode(descriptor) => Call::ReadSignal,
        libc::SYS_sendto | libc::SYS_sendmsg => Call::Send,
        libc::SYS_write | libc::SYS_writev if is_socket(descriptor) => Call::Send,
        libc::SYS_epoll_pwait => Call::Wait,
        libc::SYS_epoll_ctl if arguments[1] == i64::from(libc::EPOLL_CTL_ADD) => Call::Register,
        libc::SYS_getsockopt | libc::SYS_setsockopt => Call::SocketOption,
        libc::SYS_getpeername => Call::PeerName,
        libc::SYS_openat => Call::Open,
        _ => return specific_call_group(number),
    })
}

/// Returns the file type bits (`S_IFMT`) of a descriptor: 0 for an anonymous inode, such as a `signalfd`; `None` if
/// `fstat` fails.
fn file_type(descriptor: i64) -> Option<u32> {
    // SAFETY: a zeroed `stat` is valid, and the call writes to it.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        let arguments = [descriptor, &raw mut stat as i64, 0, 0, 0, 0];
        (raw_call(libc::SYS_fstat, arguments) == 0).then_some(stat.st_mode & libc::S_IFMT)
    }
}

fn is_socket(descriptor: i64) -> bool {
    file_type(descriptor) == Some(libc::S_IFSOCK)
}

fn is_anonymous_inode(descriptor: i64) -> bool {
    file_type(descriptor) == Some(0)
}

/// Executes a transfer for at most one byte. Calls of other kinds, `recvmsg` and `sendmsg` are executed unchanged.
fn execute_short_call(number: c_long, mut arguments: [i64; 6]) -> i64 {
    match number {
        libc::SYS_read | libc::SYS_write | libc::SYS_recvfrom | libc::SYS_sendto => {
            arguments[2] = arguments[2].min(1);
            // SAFETY: the buffer is that of the process under test, with the same or a smaller length.
            unsafe { raw_call(number, arguments) }
        }
        libc::SYS_writev | libc::SYS_readv => {
            // SAFETY: the process under test passed this many valid `iovec` values.
            let vectors = unsafe {
                std::slice::from_raw_parts(arguments[1] as *const libc::iovec, arguments[2].max(0) as usize)
            };
            let Some(first) = vectors.iter().find(|vector| vector.iov_len > 0) else {
                // SAFETY: the arguments are those that the process under test passed.
                return unsafe { raw_call(number, arguments) };
            };
            let scalar_call = if number == libc::SYS_writev { libc::SYS_write } else { libc::SYS_read };
            // SAFETY: the address is that of the first byte of a non-empty buffer of the process under test.
            unsafe { raw_call(scalar_call, [arguments[0], first.iov_base as i64, 1, 0, 0, 0]) }
        }
        // SAFETY: the arguments are those that the process under test passed.
        _ => unsafe { raw_call(number, arguments) },
    }
}

fn sleep_ms(milliseconds: u64) {
    let time = libc::timespec {
        tv_sec: (milliseconds / 1000) as i64,
        tv_nsec: (milliseconds % 1000 * 1_000_000) as i64,
    };
    // SAFETY: `time` lives until the call returns.
    unsafe { raw_call(libc::SYS_nanosleep, [&raw const time as i64, 0, 0, 0, 0, 0]) };
}
