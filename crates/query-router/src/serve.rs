//! The loop: sockets, signals and the clock. It tells the reducer what came and carries out what it asks.

#[cfg(test)]
mod tests;

use crate::config::Config;
use crate::io::{Bytes, ConnectionId, Effect, Event};
use crate::protocol::http::{MAX_BODY_BYTES, MAX_REQUEST_BYTES};
use crate::router::Router;
use balancer::Micros;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An empty buffer above this is given back.
const KEPT_INPUT: usize = 4096;
/// How often one connection is read from before it is others' turn.
const MOST_READS: usize = 4;
/// How many pieces go out with one gathered write.
const MOST_PIECES: usize = 64;
/// How long to leave the listener alone when accepting fails.
const ACCEPT_PAUSE: Micros = 100_000;

/// Unix microseconds read once, and monotonic time since.
struct Clock {
    start: Micros,
    since: Instant,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: unix.as_micros() as Micros, since: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.start + self.since.elapsed().as_micros() as Micros
    }
}

/// A connection's bytes.
struct Socket {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    up: bool,
    /// Reading stopped because the buffer was full.
    full: bool,
    input: Vec<u8>,
    output: VecDeque<Bytes>,
    /// How much of the first piece is written, and how much of all.
    offset: usize,
    written: u64,
}

/// What is to be told to the reducer after the effects in hand.
enum After {
    Read(ConnectionId),
    Flushed(ConnectionId),
    Ended(ConnectionId, u64),
}

impl After {
    fn conn(&self) -> ConnectionId {
        let (After::Read(conn) | After::Flushed(conn) | After::Ended(conn, _)) = self;
        *conn
    }
}

struct Server {
    handle: LoopHandle<'static, Server>,
    /// The configuration at the start and where it lies.
    config: Config,
    path: String,
    clock: Clock,
    router: Router,
    sockets: Vec<Option<Socket>>,
    ready: Vec<(ConnectionId, Readiness)>,
    after: VecDeque<After>,
    listener: Rc<TcpListener>,
    listening: RegistrationToken,
    listens: bool,
    /// Until when the listener is left alone because accepting failed, 0 where it does not fail.
    accepts_at: Micros,
    knocked: bool,
    arrived: VecDeque<TcpStream>,
    signals: Vec<Signal>,
    timer: Option<Micros>,
    scratch: Vec<u8>,
    /// The router has asked for the end, and that end has come.
    ending: bool,
    done: bool,
}

/// The signals that the router heeds, kept for it from here on. Guards against one that comes while the configuration
/// is read ending the process by the system's default.
pub struct Heeded(Signals);

pub fn heed_signals() -> Result<Heeded, String> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1]);
    signals.map(Heeded).map_err(|e| format!("signals: {e}"))
}

pub fn serve(signals: Heeded, config: Config, path: String) -> Result<(), String> {
    let (mut events, mut server) = start(signals, config, path)?;
    while !server.done {
        let wait = server.wait();
        events.dispatch(wait, &mut server).map_err(|e| format!("event loop: {e}"))?;
        server.turn();
    }
    print(&server.router.counters().lines());
    Ok(())
}

type Started = (EventLoop<'static, Server>, Server);

fn start(signals: Heeded, config: Config, path: String) -> Result<Started, String> {
    let failed = |what: &str, e: &dyn std::fmt::Display| format!("{what}: {e}");
    let events = EventLoop::try_new().map_err(|e| failed("event loop", &e))?;
    let handle = events.handle();
    let listen = TcpListener::bind(config.listen).and_then(|l| l.set_nonblocking(true).map(|()| l));
    let listener = Rc::new(listen.map_err(|e| failed(&format!("listen on {}", config.listen), &e))?);
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let listening = handle
        .insert_source(source, |_, _, server: &mut Server| {
            server.knocked = true;
            Ok(PostAction::Continue)
        })
        .map_err(|e| failed("listener", &e))?;
    handle
        .insert_source(signals.0, |event, _, server: &mut Server| {
            server.signals.push(event.signal());
        })
        .map_err(|e| failed("signals", &e))?;
    let clock = Clock::new();
    let router = Router::new(&config, clock.now());
    let at = listener.local_addr().map_err(|e| failed("listener", &e))?;
    tracing::info!("{} listens on {at}", config.name);
    let mut server = Server {
        handle,
        config,
        path,
        clock,
        router,
        sockets: Vec::new(),
        ready: Vec::new(),
        after: VecDeque::new(),
        listener,
        listening,
        listens: true,
        accepts_at: 0,
        knocked: false,
        arrived: VecDeque::new(),
        signals: Vec::new(),
        timer: None,
        scratch: vec![0; MAX_BODY_BYTES],
        ending: false,
        done: false,
    };
    server.settle();
    Ok((events, server))
}

/// Prints to standard error, to which nobody may listen any more.
fn print(lines: &str) {
    let _ = std::io::stderr().write_all(lines.as_bytes());
}

impl Server {
    fn wait(&self) -> Option<Duration> {
        let now = self.clock.now();
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let accept = (!self.listens && self.arrived.is_empty()).then_some(self.accepts_at);
        let next = self.timer.into_iter().chain(accept).min();
        next.map(|at| Duration::from_micros((at - now).max(0) as u64))
    }

    /// Tells the reducer all that came in, then has it decide once.
    fn turn(&mut self) {
        // Guards against what goes out on a connection that has just come up though its client left, or its node
        // began to drain, in this very turn: what is up is heard first.
        let up = |conn: ConnectionId| matches!(self.sockets.get(conn.0), Some(Some(socket)) if socket.up);
        let (heard, coming_up): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ready).into_iter().partition(|ready| up(ready.0));
        for (conn, readiness) in heard.into_iter().chain(coming_up) {
            self.socket_ready(conn, readiness);
        }
        if std::mem::take(&mut self.knocked) {
            self.accept();
        }
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => self.tell(Event::ReportCounters),
                Signal::SIGHUP => self.reload(),
                _ => self.tell(Event::Terminate),
            }
        }
        if self.timer.is_some_and(|at| at <= self.clock.now()) {
            self.tell(Event::TimerExpired);
        }
        self.settle();
        // Guards against a client that connected since the listener was last looked at: the end would reset it.
        if std::mem::take(&mut self.ending) {
            self.accept();
            self.done = self.router.may_exit();
        }
        if !self.listens && self.arrived.is_empty() && self.clock.now() >= self.accepts_at {
            self.listens = self.handle.enable(&self.listening).is_ok();
        }
    }

    /// Reads the configuration anew. One that can't be used changes nothing.
    fn reload(&mut self) {
        match Config::read(&self.path) {
            Ok(newer) => {
                let held = self.config.needs_restart(&newer);
                if !held.is_empty() {
                    tracing::warn!("heeded at the next start only: {}", held.join(", "));
                }
                self.tell(Event::DiscoveryMoved(newer.discovery));
            }
            Err(why) => tracing::warn!("the configuration stays as it was: {why}"),
        }
    }

    fn settle(&mut self) {
        self.router.decide(self.clock.now());
        self.carry_out();
    }

    fn tell(&mut self, event: Event) {
        self.router.step(self.clock.now(), event);
        self.carry_out();
    }

    fn accept(&mut self) {
        while self.arrived.is_empty() {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.accepts_at = 0;
                    if stream.set_nonblocking(true).is_ok() {
                        let _ = stream.set_nodelay(true);
                        self.arrived.push_back(stream);
                        self.tell(Event::ClientConnected);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    if self.accepts_at == 0 {
                        tracing::warn!("accepting fails, clients wait: {e}");
                    }
                    self.accepts_at = self.clock.now() + ACCEPT_PAUSE;
                    break;
                }
            }
        }
        self.listens = self.handle.disable(&self.listening).is_err();
    }

    /// Carries out what the reducer asked, and what came of that, until nothing is left.
    fn carry_out(&mut self) {
        loop {
            for effect in self.router.take_effects() {
                self.effect(effect);
            }
            let now = self.clock.now();
            match self.after.pop_front() {
                None => return,
                Some(After::Read(conn)) => {
                    if matches!(self.sockets.get(conn.0), Some(Some(socket)) if socket.full) {
                        self.read_next(conn);
                    }
                    if let Some(Some(socket)) = self.sockets.get(conn.0) {
                        self.router.step(now, Event::Received(conn, &socket.input));
                    }
                }
                Some(After::Flushed(conn)) => self.router.step(now, Event::Flushed(conn)),
                Some(After::Ended(conn, written)) => self.router.step(now, Event::Ended(conn, written)),
            }
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accept(conn) => {
                if let Some(stream) = self.arrived.pop_front() {
                    self.register(conn, stream, true);
                }
            }
            Effect::Connect(conn, to) => match connect(to) {
                Ok(stream) => self.register(conn, stream, false),
                Err(_) => self.after.push_back(After::Ended(conn, 0)),
            },
            Effect::Consume(conn, count) => {
                if let Some(Some(socket)) = self.sockets.get_mut(conn.0) {
                    socket.input.drain(..count);
                    if socket.input.is_empty() && socket.input.capacity() > KEPT_INPUT {
                        socket.input = Vec::new();
                    }
                }
            }
            Effect::Redeliver(conn) => self.after.push_back(After::Read(conn)),
            Effect::Write(conn, pieces) => {
                if let Some(Some(socket)) = self.sockets.get_mut(conn.0) {
                    socket.output.extend(pieces.into_iter().filter(|piece| !piece.is_empty()));
                    self.write(conn);
                }
            }
            Effect::WriteIfOpen(conn, pieces, due) => {
                if self.unread(conn).is_some_and(|bytes| bytes == 0 || !due) {
                    return self.fail(conn);
                }
                self.effect(Effect::Write(conn, pieces));
            }
            Effect::CloseWrite(conn) => {
                if let Some(Some(socket)) = self.sockets.get(conn.0) {
                    let _ = socket.stream.shutdown(Shutdown::Write);
                }
            }
            Effect::Close(conn) => {
                self.take(conn);
                // The index may be used again: what was to be told of this connection is void.
                self.after.retain(|after| after.conn() != conn);
            }
            Effect::CloseIfIdle(conn) => {
                // What has come in, an end too, is met when the loop reads it.
                if self.unread(conn).is_none() {
                    self.fail(conn);
                }
            }
            Effect::Abort(conn) => self.fail(conn),
            Effect::WakeAt(at) => self.timer = at,
            Effect::PrintCounters(lines) => print(&lines),
            Effect::Exit => self.ending = true,
        }
    }

    /// Whether something has come in that is not read yet: some bytes, or, as none, the connection's end.
    fn unread(&self, conn: ConnectionId) -> Option<usize> {
        let socket = self.sockets.get(conn.0)?.as_ref()?;
        match socket.stream.peek(&mut [0]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            peeked => Some(peeked.unwrap_or(0)),
        }
    }

    /// Has a connection read next turn, though no word of the system's comes.
    fn read_next(&mut self, conn: ConnectionId) {
        self.ready.push((conn, Readiness { readable: true, writable: false, error: false }));
    }

    /// Closes a socket and has the reducer told, once.
    fn fail(&mut self, conn: ConnectionId) {
        if let Some(socket) = self.take(conn) {
            self.after.push_back(After::Ended(conn, socket.written));
        }
    }

    fn take(&mut self, conn: ConnectionId) -> Option<Socket> {
        let socket = self.sockets.get_mut(conn.0)?.take()?;
        self.handle.remove(socket.token);
        Some(socket)
    }

    fn register(&mut self, conn: ConnectionId, stream: TcpStream, up: bool) {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(source, move |readiness, _, server: &mut Server| {
            server.ready.push((conn, readiness));
            Ok(PostAction::Continue)
        });
        let Ok(token) = token else {
            return self.after.push_back(After::Ended(conn, 0));
        };
        if self.sockets.len() <= conn.0 {
            self.sockets.resize_with(conn.0 + 1, || None);
        }
        let (input, output) = (Vec::new(), VecDeque::new());
        self.sockets[conn.0] =
            Some(Socket { stream, token, up, full: false, input, output, offset: 0, written: 0 });
    }

    fn socket_ready(&mut self, conn: ConnectionId, readiness: Readiness) {
        let Some(Some(socket)) = self.sockets.get_mut(conn.0) else { return };
        if !socket.up {
            let failed = !matches!(socket.stream.take_error(), Ok(None));
            if failed {
                self.fail(conn);
                return self.carry_out();
            }
            if socket.stream.peer_addr().is_err() {
                return;
            }
            socket.up = true;
            self.tell(Event::Established(conn));
        }
        if readiness.writable {
            self.write(conn);
            self.carry_out();
        }
        if readiness.readable {
            self.read(conn);
        }
    }

    /// Reads until nothing is left or the buffer is full, and tells what came.
    fn read(&mut self, conn: ConnectionId) {
        for turn in 0.. {
            // Guards against one that sends at full speed keeping all others waiting.
            if turn == MOST_READS {
                return self.read_next(conn);
            }
            let Some(Some(socket)) = self.sockets.get_mut(conn.0) else { return };
            socket.full = socket.input.len() >= MAX_REQUEST_BYTES;
            if socket.full {
                return;
            }
            match (&*socket.stream).read(&mut self.scratch) {
                Ok(0) => {
                    self.router.step(self.clock.now(), Event::PeerClosed(conn));
                    break;
                }
                Ok(count) => {
                    socket.input.extend_from_slice(&self.scratch[..count]);
                    self.router.step(self.clock.now(), Event::Received(conn, &socket.input));
                    self.carry_out();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.fail(conn);
        self.carry_out();
    }

    /// Writes until nothing is left or the socket takes no more.
    fn write(&mut self, conn: ConnectionId) {
        let Some(Some(socket)) = self.sockets.get_mut(conn.0) else { return };
        if socket.output.is_empty() {
            return;
        }
        while !socket.output.is_empty() {
            let begin = |at: usize| if at == 0 { socket.offset } else { 0 };
            let pieces = socket.output.iter().take(MOST_PIECES).enumerate();
            let slices: Vec<IoSlice> = pieces.map(|(at, piece)| IoSlice::new(&piece[begin(at)..])).collect();
            match (&*socket.stream).write_vectored(&slices) {
                Ok(mut count) => {
                    socket.written += count as u64;
                    while let Some(left) = socket.output.front().map(|piece| piece.len() - socket.offset) {
                        if count < left {
                            socket.offset += count;
                            break;
                        }
                        count -= left;
                        socket.offset = 0;
                        socket.output.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // What came before the break is still to be read; the end is met there.
                Err(_) => {
                    socket.output.clear();
                    return self.read_next(conn);
                }
            }
        }
        self.after.push_back(After::Flushed(conn));
    }
}

/// Begins to connect; the socket is writable once that is done.
fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let stream = TcpStream::from(net::socket_with(family, SocketType::STREAM, flags, None)?);
    stream.set_nodelay(true)?;
    match net::connect(&stream, &to) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(stream),
        Err(e) => Err(e.into()),
    }
}
