//! The wall clock of the process under test: the system's, shifted by the time that the control file sets.

use crate::architecture::raw_call;
use fault_control::Control;
use libc::{c_int, clockid_t, timespec};
use std::sync::atomic::{AtomicPtr, Ordering};

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;

static CONTROL: AtomicPtr<Control> = AtomicPtr::new(std::ptr::null_mut());

/// Makes [`clock_gettime`] shift the wall clock by the time that `control` sets; until then the clock is not shifted.
pub fn install(control: &'static Control) {
    CONTROL.store(std::ptr::from_ref(control).cast_mut(), Ordering::SeqCst);
}

/// Replaces the C library's function of this name, through which the standard library reads all clocks.
///
/// # Safety
///
/// The requirements of the C library's function apply: `time` points to a writable `timespec`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller passes a valid pointer.
    let result = unsafe { raw_call(libc::SYS_clock_gettime, [i64::from(clock), time as i64, 0, 0, 0, 0]) };
    if result < 0 {
        // SAFETY: the pointer to the calling thread's `errno` is valid.
        unsafe { *libc::__errno_location() = -result as c_int };
        return -1;
    }
    // SAFETY: the pointer is null or points to a `Control` that is never dropped.
    let control = unsafe { CONTROL.load(Ordering::SeqCst).as_ref() };
    if let Some(control) = control.filter(|_| clock == libc::CLOCK_REALTIME) {
        // SAFETY: the system call succeeded, so `time` points to an initialized value.
        let time = unsafe { &mut *time };
        let shift = control.wall_clock_shift_ms();
        let total = time.tv_nsec + shift % 1000 * NANOSECONDS_PER_MILLISECOND;
        time.tv_sec += shift / 1000 + total.div_euclid(NANOSECONDS_PER_SECOND);
        time.tv_nsec = total.rem_euclid(NANOSECONDS_PER_SECOND);
    }
    0
}
