//! Stand-ins for what yewpier talks with, written from the pages that describe it. Each listens on loopback at a
//! port that the system gives, serves each connection on a thread, and is scripted by plain values.

mod discovery;
mod node;
mod subscriber;
mod xds;

pub use discovery::{Discovery, member};
pub use node::data_node;
pub use subscriber::{Answer, Ask, Backend, Script, Subscriber, View};
pub use xds::{Proxy, Reporter, odd_request};

use std::net::{SocketAddr, TcpListener, TcpStream};

/// Serves each connection to a listener of its own port on a thread.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    at
}
