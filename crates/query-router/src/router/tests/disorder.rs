//! Whatever order things come in: drawn events from clients, nodes, discovery and the system, from fixed seeds. The far ends
//! know what was written to them and answer, break off, repeat or spoil it; invariants panic here.

use super::*;
use std::collections::BTreeSet;

/// A far end of a connection.
#[derive(Default)]
struct RemoteEnd {
    /// What it was sent, and how many bytes of that are taken by the system.
    sent: Vec<u8>,
    taken: usize,
    /// How far a node has read, and the ids of the parts that it has to answer.
    read: usize,
    asked: Vec<String>,
    /// What it has said that the router did not take.
    said: Vec<u8>,
    up: bool,
    port: Option<u16>,
}

struct World {
    router: Router,
    now: Micros,
    rng: fastrand::Rng,
    ends: BTreeMap<ConnectionId, RemoteEnd>,
    /// Effects in the loop's order, and what it tells after them.
    after: Vec<After>,
    queries: u64,
    revision: u64,
    /// How often each part went out whole, by its id, where that may be done once only.
    whole: BTreeMap<String, usize>,
    answers: BTreeMap<ConnectionId, usize>,
    exit: bool,
}

enum After {
    Ended(ConnectionId, u64),
    Flushed(ConnectionId),
    Read(ConnectionId),
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("JSON");
        config["limits"]["sockets"] = rng.u32(18..40).into();
        config["settings"]["tickNs"] = [0, 5_000_000][rng.usize(0..2)].into();
        config["settings"]["registryMode"] = ["ask", "push"][rng.usize(0..2)].into();
        config["settings"]["ceilings"]["cancelling"] = rng.bool().into();
        config["settings"]["ceilings"]["parallelTries"] = rng.bool().into();
        config["settings"]["ceilings"]["openCap"] = 40.into();
        config["settings"]["obligations"]["drainGraceNs"] = 500_000_000.into();
        let config = Config::parse(&config.to_string()).expect("a configuration");
        let router = Router::new(&config, START);
        let (ends, whole, answers) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut world = World {
            router,
            now: START,
            rng,
            ends,
            after: Vec::new(),
            queries: 0,
            revision: 41,
            whole,
            answers,
            exit: false,
        };
        world.settle();
        world
    }

    fn tell(&mut self, event: Event) {
        self.router.step(self.now, event);
        self.carry_out();
    }

    fn settle(&mut self) {
        self.router.decide(self.now);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        loop {
            for effect in self.router.take_effects() {
                self.effect(effect);
            }
            if self.after.is_empty() {
                return;
            }
            match self.after.remove(0) {
                After::Ended(conn, written) => self.router.step(self.now, Event::Ended(conn, written)),
                After::Flushed(conn) => self.router.step(self.now, Event::Flushed(conn)),
                After::Read(conn) => {
                    if let Some(end) = self.ends.get(&conn) {
                        let said = end.said.clone();
                        self.router.step(self.now, Event::Received(conn, &said));
                    }
                }
            }
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accept(conn) => {
                self.answers.remove(&conn);
                assert!(self.ends.insert(conn, RemoteEnd { up: true, ..RemoteEnd::default() }).is_none());
            }
            Effect::Connect(conn, to) => {
                let end = RemoteEnd { port: Some(to.port()), ..RemoteEnd::default() };
                assert!(self.ends.insert(conn, end).is_none());
            }
            Effect::Consume(conn, count) => {
                if let Some(end) = self.ends.get_mut(&conn) {
                    end.said.drain(..count);
                }
            }
            Effect::Redeliver(conn) => self.after.push(After::Read(conn)),
            Effect::Write(conn, pieces) | Effect::WriteIfOpen(conn, pieces, _) => {
                let bytes: Vec<u8> = pieces.iter().flat_map(|piece| piece.to_vec()).collect();
                let slow = self.rng.u8(0..8) == 0;
                if let Some(end) = self.ends.get_mut(&conn) {
                    assert!(end.up, "written on a connection that is not up");
                    end.sent.extend(bytes);
                    if !slow && end.taken + 1 < end.sent.len() {
                        self.take_all(conn);
                    }
                }
            }
            Effect::CloseIfIdle(conn) => {
                if self.ends.get(&conn).is_some_and(|end| end.said.is_empty()) {
                    self.fail(conn);
                }
            }
            Effect::Abort(conn) => self.fail(conn),
            Effect::Close(conn) => {
                self.ends.remove(&conn);
                self.after.retain(|after| {
                    let (After::Ended(c, _) | After::Flushed(c) | After::Read(c)) = after;
                    *c != conn
                });
            }
            Effect::Exit => self.exit = true,
            Effect::CloseWrite(_) | Effect::WakeAt(_) | Effect::PrintCounters(_) => {}
        }
    }

    fn take_all(&mut self, conn: ConnectionId) {
        let Some(end) = self.ends.get_mut(&conn) else { return };
        end.taken = end.sent.len();
        self.after.push(After::Flushed(conn));
        if end.port.is_some_and(|port| port != 9) {
            self.read_frames(conn);
        }
    }

    /// A node reads the calls that came whole.
    fn read_frames(&mut self, conn: ConnectionId) {
        let Some(end) = self.ends.get_mut(&conn) else { return };
        while let Some(head) = end.sent[..end.taken].get(end.read..end.read + 5) {
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let letter = head[4];
            let Some(rest) = end.sent[..end.taken].get(end.read + 5..end.read + 4 + length) else { return };
            if letter == b'R' {
                let mut rest = rest;
                while !rest.is_empty() {
                    let at = rest.iter().position(|&b| b == b'\n').expect("a line");
                    let line = std::str::from_utf8(&rest[..at]).expect("text").to_string();
                    let mut words = line.split(' ');
                    let id = words.next().expect("an id").to_string();
                    let length: usize = words.nth(2).expect("a length").parse().expect("a length");
                    rest = &rest[at + 1 + length..];
                    let queries = &self.router.state.queries;
                    let part = queries.shard_requests.iter().find(|part| *part.1.id == *id);
                    let open =
                        part.is_some_and(|part| !queries.query(part.1.query).expect("a query").has_ended());
                    assert!(open, "{id} goes out though its query has ended");
                    if id.starts_with("pay") {
                        *self.whole.entry(id.clone()).or_default() += 1;
                    }
                    end.asked.push(id);
                }
            } else if letter == b'G' {
                end.asked.push(String::new());
            }
            end.read += 4 + length;
        }
    }

    /// The system closes a socket and says how much it had taken.
    fn fail(&mut self, conn: ConnectionId) {
        if let Some(end) = self.ends.remove(&conn) {
            self.after.push(After::Ended(conn, end.taken as u64));
        }
    }

    fn one(&mut self, of: impl Fn(&RemoteEnd) -> bool) -> Option<ConnectionId> {
        let fits: Vec<ConnectionId> = self.ends.iter().filter(|end| of(end.1)).map(|end| *end.0).collect();
        self.rng.choice(fits)
    }

    /// Something comes in on a connection, at once or in two pieces.
    fn say(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let cut = if self.rng.u8(0..6) == 0 { self.rng.usize(0..=bytes.len()) } else { bytes.len() };
        for piece in [&bytes[..cut], &bytes[cut..]] {
            let Some(end) = self.ends.get_mut(&conn) else { return };
            if piece.is_empty() {
                continue;
            }
            end.said.extend(piece);
            let said = end.said.clone();
            self.tell(Event::Received(conn, &said));
            if cut < bytes.len() && self.rng.bool() {
                return;
            }
        }
    }

    fn request(&mut self) -> Vec<u8> {
        self.queries += 1;
        let class = if self.rng.bool() { "pay" } else { "look" };
        let id = format!("{class}{}", self.queries);
        let shards: Vec<usize> = (0..4).filter(|_| self.rng.bool()).collect();
        let boost = 1.0 / shards.len().max(1) as f64;
        let parts: Vec<String> =
            shards.iter().map(|shard| format!(r#"{{"segment":{shard},"boost":{boost}}}"#)).collect();
        let body = format!(r#"{{"segments":[{}],"text":"q"}}"#, parts.join(","));
        let wait = self.rng.u32(1..2_500).to_string();
        match self.rng.u8(0..12) {
            0 => b"GET /-/ready HTTP/1.1\r\n\r\n".to_vec(),
            1 => b"no request at all\r\n\r\n".to_vec(),
            2 => [post(class, &id, &body), post(class, &format!("{id}b"), &body)].concat().into_bytes(),
            3 => [post(class, &id, &body).into_bytes(), vec![b'x'; crate::protocol::http::MAX_REQUEST_BYTES]]
                .concat(),
            _ => post(class, &id, &body).replace("1500", &wait).into_bytes(),
        }
    }

    /// What a node says: an answer to one of its parts, another, or nothing that can be used.
    fn node_says(&mut self, conn: ConnectionId) {
        let asked = self.ends[&conn].asked.len();
        let at = self.rng.usize(0..asked.max(1));
        let id = self.ends.get_mut(&conn).filter(|_| asked > 0).map(|end| end.asked.remove(at));
        let answer =
            |letter: u8, rest: &str| [&frames::head(letter, rest.len())[..], rest.as_bytes()].concat();
        let bytes = match (id, self.rng.u8(0..24)) {
            (Some(id), _) if id.is_empty() => answer(b'G', "OK"),
            (_, 0) => answer(b'N', "what was that"),
            (_, 1) => vec![0, 0, 0, 30, b'Y', b'x'],
            (_, 2) => b"noise".to_vec(),
            (None, _) => return,
            (Some(id), 3..=5) => answer(b'Y', &format!("{id} ERROR 5 -\n")),
            (Some(id), 6..=8) => answer(b'Y', &format!("{id} REJECTED 5 -\n")),
            (Some(id), 9) => answer(b'Y', &format!("{id} OK 5 -\nv")).repeat(2),
            (Some(id), _) => answer(b'Y', &format!("{id} OK 5 -\nv")),
        };
        self.say(conn, &bytes);
    }

    fn discovery_says(&mut self, conn: ConnectionId) {
        self.revision += self.rng.u64(0..3);
        let mut members = Vec::new();
        for (i, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
            let phase = ["ready", "ready", "draining", "gone"][self.rng.usize(0..4)];
            let up_since = self.rng.u64(0..3) * (START as u64 / 1_000);
            if self.rng.bool() {
                members.push(serde_json::json!({"id": id, "host_port": format!("127.0.0.1:{}", 71 + i),
                    "locality": "z", "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": up_since}));
            }
        }
        let complete = self.rng.u8(0..4) == 0;
        let list = serde_json::json!({"revision": self.revision, "complete": complete, "members": members});
        let head = if self.ends[&conn].read == 0 {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        } else {
            ""
        };
        if let Some(end) = self.ends.get_mut(&conn) {
            end.read = 1;
        }
        let line = match self.rng.u8(0..8) {
            0 => "\n".to_string(),
            1 => "{\"revision\"\n".to_string(),
            _ => format!("{list}\n"),
        };
        self.say(conn, format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.router.wake_at.filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.tell(Event::TimerExpired);
            self.settle();
        }
        self.now = end;
    }

    fn something(&mut self) {
        let node = |end: &RemoteEnd| end.port.is_some_and(|port| port != 9);
        let client = |end: &RemoteEnd| end.port.is_none();
        match self.rng.u8(0..40) {
            0..=3 => self.tell(Event::ClientConnected),
            4..=11 => {
                let request = self.request();
                if let Some(conn) = self.one(client) {
                    self.say(conn, &request);
                }
            }
            12..=13 => {
                if let Some(conn) = self.one(client) {
                    self.fail(conn);
                    self.carry_out();
                }
            }
            14..=18 => {
                if let Some(conn) = self.one(|end| !end.up) {
                    self.ends.get_mut(&conn).expect("an end").up = true;
                    self.tell(Event::Established(conn));
                }
            }
            19..=25 => {
                if let Some(conn) = self.one(|end| node(end) && end.up && !end.asked.is_empty()) {
                    self.node_says(conn);
                }
            }
            26 => {
                if let Some(conn) = self.one(|end| node(end) && end.up) {
                    self.node_says(conn);
                }
            }
            27 => {
                if let Some(conn) = self.one(node) {
                    self.fail(conn);
                    self.carry_out();
                }
            }
            28..=29 => {
                if let Some(conn) = self.one(|end| end.port == Some(9) && end.up) {
                    self.discovery_says(conn);
                }
            }
            30 => {
                if let Some(conn) = self.one(|end| end.port == Some(9)) {
                    self.tell(Event::PeerClosed(conn));
                    self.fail(conn);
                    self.carry_out();
                }
            }
            31..=32 => {
                if let Some(conn) = self.one(|end| end.taken < end.sent.len()) {
                    self.take_all(conn);
                    self.carry_out();
                }
            }
            33 => {
                let to = if self.rng.bool() { "127.0.0.1:9" } else { "127.0.0.2:9" };
                self.tell(Event::DiscoveryMoved(to.parse().expect("an address")));
            }
            34..=36 => self.settle(),
            _ => {
                let span = [100, 5_000, 100_000, 700_000][self.rng.usize(0..4)];
                self.settle();
                self.pass(span);
            }
        }
    }
}

#[test]
fn whatever_order_things_come_in_the_router_keeps_its_word_and_gives_all_back() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        for _ in 0..600 {
            world.something();
        }
        world.settle();
        world.tell(Event::Terminate);
        for _ in 0..40 {
            world.something();
            world.pass(10_000);
        }
        // The process may be killed this long after; by then all are answered whose answers can be written.
        world.pass(shutdown::KILLED_AFTER + 2_000_000);
        world.settle();
        let state = &world.router.state;
        assert_eq!(state.queries.open_count(), 0, "seed {seed}: a query without an answer");
        let clients: Vec<ConnectionId> =
            world.ends.iter().filter(|end| end.1.port.is_none()).map(|end| *end.0).collect();
        for conn in clients {
            world.fail(conn);
            world.carry_out();
        }
        // Those that wait for one of few sockets come in turn, each for two seconds.
        world.pass(200_000_000);
        let state = &world.router.state;
        assert!(world.exit, "seed {seed}: it does not end");
        assert_eq!((state.queries.queries.len(), state.queries.shard_requests.len()), (0, 0), "seed {seed}");
        let known: BTreeSet<ConnectionId> = state.context.connections.ids().collect();
        assert_eq!(known, world.ends.keys().copied().collect(), "seed {seed}: connections of nobody");
        assert_eq!(state.context.counters.invariants_violated, 0);
        // What may not run twice went out whole once, unless a node turned it away for certain.
        let turned_away = state.context.counters.attempts_rejected;
        let again = world.whole.values().filter(|&&times| times > 1).count() as u64;
        assert!(again <= turned_away, "seed {seed}: {again} sent again, {turned_away} turned away");
    }
}
