//! The control file of the library `fault-shim`: what a test asks it to do to a process, and what it has done. Both sides
//! map the file, so changes take effect at once.

#![warn(missing_docs)]

use std::fs::OpenOptions;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// The environment variable that names the control file.
pub const CONTROL_VARIABLE: &str = "FAULT_SHIM_CONTROL";

/// Whether the library can inject faults on this kind of machine.
pub const IS_SUPPORTED: bool = cfg!(all(target_os = "linux", target_arch = "x86_64"));

/// How many faults one call may choose from.
const MAX_FAULTS: usize = 8;
/// The code of a fault that is no error number: the call does less than it was asked to.
const SHORT_CODE: u32 = u32::MAX;
/// The code of a fault that is no error number: the call is held up first.
const DELAY_CODE: u32 = u32::MAX - 1;

/// A group of system calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `accept` and `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `read`, `recvfrom` and their relatives on a socket, where bytes are taken.
    Receive,
    /// `recvfrom` with `MSG_PEEK`.
    Peek,
    /// `write`, `writev`, `sendto` and `sendmsg` on a socket.
    Send,
    /// `read` on a descriptor of the event loop, such as that of signals.
    ReadSignal,
    /// `epoll_wait` and its relatives.
    Wait,
    /// `epoll_ctl` that adds a descriptor.
    Register,
    /// `getsockopt` and `setsockopt`.
    SocketOption,
    /// `getpeername`.
    PeerName,
    /// `open` and `openat`.
    Open,
}

const CALLS: usize = Call::Open as usize + 1;

/// What happens to a call that is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error number and has no effect.
    Error(i32),
    /// It transfers one byte at most.
    Short,
    /// It is held up for [`Control::set_delay_ms`] first.
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
    /// How many of a thousand calls get a fault.
    per_mille: AtomicU32,
    /// How many of the next calls get the first fault, whatever the rate.
    next_calls: AtomicU32,
    faults: [AtomicU32; MAX_FAULTS],
    injected: AtomicU64,
}

#[repr(C)]
struct Layout {
    random_state: AtomicU64,
    wall_clock_shift_ms: AtomicI64,
    delay_ms: AtomicU64,
    calls: [CallPlan; CALLS],
}

/// A mapped control file.
pub struct Control {
    layout: *const Layout,
}

// SAFETY: the mapping lives until the value is dropped and consists of atomics.
unsafe impl Send for Control {}
// SAFETY: as above.
unsafe impl Sync for Control {}

impl Control {
    /// Creates a file that asks for nothing yet; `seed` determines which calls are chosen.
    ///
    /// # Errors
    ///
    /// The system's error if the file cannot be created or mapped.
    pub fn create(path: &Path, seed: u64) -> io::Result<Control> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(size_of::<Layout>() as u64)?;
        let control = Control::open(path)?;
        control.layout().random_state.store(seed.wrapping_mul(2).wrapping_add(1), Ordering::Relaxed);
        Ok(control)
    }

    /// Maps a file that [`Control::create`] made.
    ///
    /// # Errors
    ///
    /// The system's error if the file cannot be opened or mapped.
    pub fn open(path: &Path) -> io::Result<Control> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        if file.metadata()?.len() < size_of::<Layout>() as u64 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        // SAFETY: a new mapping of a file that is long enough.
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
        // SAFETY: the mapping is long enough, aligned to a page, and lives as long as `self`.
        unsafe { &*self.layout }
    }

    fn plan(&self, call: Call) -> &CallPlan {
        &self.layout().calls[call as usize]
    }

    /// Has a share of the calls fail in one of these ways; no share or no way ends it.
    pub fn set_rate(&self, call: Call, per_mille: u32, faults: &[Fault]) {
        let plan = self.plan(call);
        plan.per_mille.store(0, Ordering::SeqCst);
        self.set_faults(call, faults);
        plan.per_mille.store(per_mille, Ordering::SeqCst);
    }

    /// Has the next calls fail in this way.
    pub fn fail_next(&self, call: Call, count: u32, fault: Fault) {
        self.set_faults(call, &[fault]);
        self.plan(call).next_calls.store(count, Ordering::SeqCst);
    }

    fn set_faults(&self, call: Call, faults: &[Fault]) {
        for (index, slot) in self.plan(call).faults.iter().enumerate() {
            slot.store(faults.get(index).map_or(0, |fault| fault.code()), Ordering::SeqCst);
        }
    }

    /// Ends all faults; the wall clock stays as it is.
    pub fn clear(&self) {
        for plan in &self.layout().calls {
            plan.per_mille.store(0, Ordering::SeqCst);
            plan.next_calls.store(0, Ordering::SeqCst);
        }
    }

    /// For how long a delayed call is held up.
    pub fn set_delay_ms(&self, delay: u64) {
        self.layout().delay_ms.store(delay, Ordering::SeqCst);
    }

    /// The delay that [`Control::set_delay_ms`] set.
    pub fn delay_ms(&self) -> u64 {
        self.layout().delay_ms.load(Ordering::SeqCst)
    }

    /// Shifts the wall clock against the true time; monotonic time runs on.
    pub fn set_wall_clock_shift_ms(&self, shift: i64) {
        self.layout().wall_clock_shift_ms.store(shift, Ordering::SeqCst);
    }

    /// The shift that [`Control::set_wall_clock_shift_ms`] set.
    pub fn wall_clock_shift_ms(&self) -> i64 {
        self.layout().wall_clock_shift_ms.load(Ordering::SeqCst)
    }

    /// How many calls of a group got a fault.
    pub fn injected(&self, call: Call) -> u64 {
        self.plan(call).injected.load(Ordering::SeqCst)
    }

    /// How many calls of all groups got a fault.
    pub fn injected_in_all(&self) -> u64 {
        self.layout().calls.iter().map(|plan| plan.injected.load(Ordering::SeqCst)).sum()
    }

    /// Decides what happens to the next call of a group. Used by the library; allocates nothing.
    pub fn draw(&self, call: Call) -> Option<Fault> {
        let plan = self.plan(call);
        let take_one = |left: u32| left.checked_sub(1);
        let is_next = plan.next_calls.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_one).is_ok();
        let per_mille = plan.per_mille.load(Ordering::Relaxed);
        if !is_next && (per_mille == 0 || self.random() % 1000 >= u64::from(per_mille)) {
            return None;
        }
        let count = plan.faults.iter().filter(|code| code.load(Ordering::Relaxed) != 0).count();
        if count == 0 {
            return None;
        }
        let index = if is_next { 0 } else { self.random() as usize % count };
        let fault = Fault::from_code(plan.faults[index].load(Ordering::Relaxed))?;
        plan.injected.fetch_add(1, Ordering::Relaxed);
        Some(fault)
    }

    /// The next random number (splitmix64).
    fn random(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut value = self.layout().random_state.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // SAFETY: the mapping was made by `open` and is not used any more.
        unsafe { libc::munmap(self.layout.cast_mut().cast(), size_of::<Layout>()) };
    }
}

/// The command that starts `program` under the library with this control file.
///
/// # Panics
///
/// If the library was not built beside the running program.
pub fn command(program: &Path, control_file: &Path) -> Command {
    let mut command = Command::new(program);
    command.env("LD_PRELOAD", library_path()).env(CONTROL_VARIABLE, control_file);
    command
}

/// The library, which Cargo builds beside the running program or in the folder above it.
fn library_path() -> PathBuf {
    const FILE_NAME: &str = "libfault_shim.so";
    let program = std::env::current_exe().expect("the path of this program");
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| [folder.join("deps").join(FILE_NAME), folder.join(FILE_NAME)]);
    candidates.into_iter().find(|path| path.exists()).expect("the library fault-shim is built")
}
