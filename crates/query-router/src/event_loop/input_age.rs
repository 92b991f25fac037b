//! The age of unread input, which the system knows. A client that waits in the system's queue to be accepted may have
//! sent its request long before it is read.

use balancer::Micros;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

const MICROSECONDS_PER_MILLISECOND: Micros = 1_000;

/// Returns the time since the last bytes arrived on a connection; 0 if the system does not tell.
pub(super) fn input_age(stream: &TcpStream) -> Micros {
    // SAFETY: `tcp_info` consists of integers, for which all bytes zero are a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` is borrowed, and the system writes at most `length` bytes to `info`.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return 0;
    }
    Micros::from(info.tcpi_last_data_recv) * MICROSECONDS_PER_MILLISECOND
}
