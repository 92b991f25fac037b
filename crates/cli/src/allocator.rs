//! Settings of the C library's memory allocator.

/// Allocations of this size or more, in bytes, are mapped on their own and returned to the system when they are freed.
/// Otherwise the allocator raises this size by itself, and keeps the buffers of a flood for the life of the process.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_ALLOCATION_BYTES: libc::c_int = 16 * 1024;
/// Free memory at the end of the heap, in bytes, from which it is returned to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const RETAINED_FREE_BYTES: libc::c_int = 256 * 1024;

/// Makes the allocator return the memory of large buffers to the system.
pub fn return_freed_buffers() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: the calls set parameters of the allocator, before other threads are started.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, RETAINED_FREE_BYTES);
    }
}
