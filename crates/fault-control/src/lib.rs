//! The control file of the library `fault-shim`: the faults that a test injects into a process, and the numbers of
//! injected faults. The test and the process both map the file into memory, so changes take effect at once.

#![warn(missing_docs)]

use std::fs::OpenOptions;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// The environment variable that names the control file.
pub const CONTROL_VARIABLE: &str = "FAULT_SHIM_CONTROL";

/// Whether the library can inject faults on this platform; true for Linux on x86-64 and on arm64.
pub const IS_SUPPORTED: bool =
    cfg!(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")));

/// The largest number of different faults for one group of calls; further ones are ignored.
const MAX_FAULTS: usize = 8;
/// The code of [`Fault::Short`] in the control file, where other codes are error numbers.
const SHORT_CODE: u32 = u32::MAX;
/// The code of [`Fault::Delay`] in the control file.
const DELAY_CODE: u32 = u32::MAX - 1;

/// A group of system calls into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `accept` and `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `read`, `readv`, `recvfrom` and `recvmsg` on a socket, where they consume the bytes.
    Receive,
    /// `recvfrom` with `MSG_PEEK`, which leaves the bytes in the socket.
    Peek,
    /// `write`, `writev`, `sendto` and `sendmsg` on a socket.
    Send,
    /// `read` on an anonymous inode, such as the `signalfd` of the event loop.
    ReadSignal,
    /// `epoll_wait` and `epoll_pwait`.
    Wait,
    /// `epoll_ctl` with `EPOLL_CTL_ADD`.
    Register,
    /// `getsockopt` and `setsockopt`.
    SocketOption,
    /// `getpeername`.
    PeerName,
    /// `open` and `openat`.
    Open,
}

const CALLS: usize = Call::Open as usize + 1;

/// A fault that is injected into a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this `errno` value and has no effect.
    Error(i32),
    /// The call transfers at most one byte. Calls that transfer no bytes, `recvmsg` and `sendmsg` are executed
    /// unchanged.
    Short,
    /// The call is delayed by the time set with [`Control::set_delay_ms`] and then executed.
    Delay,
}

impl Fault {
    fn code(self) -> u32 {
        match self {
            Fault::Error(number) => number as u32,
            Fault::Short => SHORT_CODE,
            Fault::Delay => DELAY_CODE,
        }
    }

    fn from_code(code: u32) -> Option<Fault> {
        match code {
            0 => None,
            SHORT_CODE => Some(Fault::Short),
            DELAY_CODE => Some(Fault::Delay),
            number => Some(Fault::Error(number as i32)),
        }
    }
}

#[repr(C)]
struct CallPlan {
    /// The share of calls that get a fault, in thousandths.
    per_mille: AtomicU32,
    /// The number of next calls that get the first fault regardless of the rate.
    next_calls: AtomicU32,
    /// The codes of the faults to choose from, followed by zeros.
    faults: [AtomicU32; MAX_FAULTS],
    /// The number of faults injected.
    injected: AtomicU64,
}

#[repr(C)]
struct Layout {
    random_state: AtomicU64,
    wall_clock_shift_ms: AtomicI64,
    delay_ms: AtomicU64,
    calls: [CallPlan; CALLS],
}

/// A control file that is mapped into memory.
pub struct Control {
    layout: *const Layout,
}

// SAFETY: the mapping consists of atomics and lives until the value is dropped.
unsafe impl Send for Control {}
// SAFETY: as above.
unsafe impl Sync for Control {}

impl Control {
    /// Creates a control file without faults; `seed` determines which calls get a fault once a rate is set.
    ///
    /// # Errors
    ///
    /// The operating system's error if the file cannot be created or mapped.
    pub fn create(path: &Path, seed: u64) -> io::Result<Control> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(size_of::<Layout>() as u64)?;
        let control = Control::open(path)?;
        control.layout().random_state.store(seed.wrapping_mul(2).wrapping_add(1), Ordering::Relaxed);
        Ok(control)
    }

    /// Maps a control file that [`Control::create`] created.
    ///
    /// # Errors
    ///
    /// The operating system's error if the file cannot be opened or mapped; `UnexpectedEof` if the file is too short.
    pub fn open(path: &Path) -> io::Result<Control> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        if file.metadata()?.len() < size_of::<Layout>() as u64 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        // SAFETY: creates a new mapping of a file that is at least as long as the mapping.
        let address = unsafe {
            libc::mmap(
                std::ptr::null_mut(),
                size_of::<Layout>(),
                protection,
                libc::MAP_SHARED,
                file.as_raw_fd(),
                0,
            )
        };
        if address == libc::MAP_FAILED {
            return Err(io::Error::last_os_error());
        }
        Ok(Control { layout: address.cast_const().cast() })
    }

    fn layout(&self) -> &Layout {
        // SAFETY: the mapping is as large as `Layout`, page-aligned, and lives as long as `self`.
        unsafe { &*self.layout }
    }

    fn plan(&self, call: Call) -> &CallPlan {
        &self.layout().calls[call as usize]
    }

    /// Injects one of `faults`, chosen at random, into `per_mille` thousandths of the group's calls. A rate of 0 or
    /// an empty slice stops the injection.
    pub fn set_rate(&self, call: Call, per_mille: u32, faults: &[Fault]) {
        let plan = self.plan(call);
        plan.per_mille.store(0, Ordering::SeqCst);
        self.set_faults(call, faults);
        plan.per_mille.store(per_mille, Ordering::SeqCst);
    }

    /// Injects `fault` into the group's next `count` calls. Also replaces the faults that
    /// [`Control::set_rate`] set.
    pub fn fail_next(&self, call: Call, count: u32, fault: Fault) {
        self.set_faults(call, &[fault]);
        self.plan(call).next_calls.store(count, Ordering::SeqCst);
    }

    fn set_faults(&self, call: Call, faults: &[Fault]) {
        for (index, slot) in self.plan(call).faults.iter().enumerate() {
            slot.store(faults.get(index).map_or(0, |fault| fault.code()), Ordering::SeqCst);
        }
    }

    /// Stops the injection of faults into all groups; the shift of the wall clock stays.
    pub fn clear(&self) {
        for plan in &self.layout().calls {
            plan.per_mille.store(0, Ordering::SeqCst);
            plan.next_calls.store(0, Ordering::SeqCst);
        }
    }

    /// Sets the delay of [`Fault::Delay`] in milliseconds.
    pub fn set_delay_ms(&self, delay: u64) {
        self.layout().delay_ms.store(delay, Ordering::SeqCst);
    }

    /// Returns the delay of [`Fault::Delay`] in milliseconds; 0 until it is set.
    pub fn delay_ms(&self) -> u64 {
        self.layout().delay_ms.load(Ordering::SeqCst)
    }

    /// Shifts the wall clock of the process by `shift` milliseconds against the system's; monotonic clocks are
    /// unaffected.
    pub fn set_wall_clock_shift_ms(&self, shift: i64) {
        self.layout().wall_clock_shift_ms.store(shift, Ordering::SeqCst);
    }

    /// Returns the shift of the wall clock in milliseconds; 0 until it is set.
    pub fn wall_clock_shift_ms(&self) -> i64 {
        self.layout().wall_clock_shift_ms.load(Ordering::SeqCst)
    }

    /// Returns the number of faults injected into the group's calls.
    pub fn injected(&self, call: Call) -> u64 {
        self.plan(call).injected.load(Ordering::SeqCst)
    }

    /// Returns the number of faults injected into calls of all groups.
    pub fn injected_in_all(&self) -> u64 {
        self.layout().calls.iter().map(|plan| plan.injected.load(Ordering::SeqCst)).sum()
    }

    /// Chooses the fault of the group's next call; `None` if the call is executed unchanged. Called in the library's
    /// signal handler, so it does not allocate.
    pub fn choose_fault(&self, call: Call) -> Option<Fault> {
        let plan = self.plan(call);
        let take_one = |remaining: u32| remaining.checked_sub(1);
        let is_forced = plan.next_calls.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_one).is_ok();
        let per_mille = plan.per_mille.load(Ordering::Relaxed);
        if !is_forced && (per_mille == 0 || self.next_random() % 1000 >= u64::from(per_mille)) {
            return None;
        }
        let count = plan.faults.iter().filter(|code| code.load(Ordering::Relaxed) != 0).count();
        if count == 0 {
            return None;
        }
        let index = if is_forced { 0 } else { self.next_random() as usize % count };
        let fault = Fault::from_code(plan.faults[index].load(Ordering::Relaxed))?;
        plan.injected.fetch_add(1, Ordering::Relaxed);
        Some(fault)
    }

    /// Returns the next random number (splitmix64).
    fn next_random(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut value = self.layout().random_state.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // SAFETY: the mapping was created by `open` with this size and is not used after the drop.
        unsafe { libc::munmap(self.layout.cast_mut().cast(), size_of::<Layout>()) };
    }
}

/// Returns the command that starts `program` with the library preloaded and this control file.
///
/// # Panics
///
/// If the library is not found beside the running program, that is, if `fault-shim` was not built.
pub fn command(program: &Path, control_file: &Path) -> Command {
    let mut command = Command::new(program);
    command.env("LD_PRELOAD", library_path()).env(CONTROL_VARIABLE, control_file);
    command
}

/// Returns the path of the library, which Cargo builds in the folder of the running program or the one above it.
fn library_path() -> PathBuf {
    const FILE_NAME: &str = "libfault_shim.so";
    let program = std::env::current_exe().expect("the path of the running program is available");
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| [folder.join("deps").join(FILE_NAME), folder.join(FILE_NAME)]);
    candidates.into_iter().find(|path| path.exists()).expect("libfault_shim.so is built beside this program")
}
