//! A loopback listener that serves each connection on its own thread.

use std::net::{SocketAddr, TcpListener, TcpStream};

/// Listens on a loopback port that the system chooses, serves each connection on its own thread, and returns
/// the address.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}
