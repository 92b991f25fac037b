//! Random sequences of events from clients, nodes, discovery and the system, from fixed seeds. The peers know what was
//! written to them and answer, break off, repeat or damage it; invariants panic here.

use super::*;

/// The peer of a connection.
#[derive(Default)]
struct RemoteEnd {
    /// The bytes that the router has written.
    sent: Vec<u8>,
    /// How many of them the system has taken.
    taken: usize,
    /// How many of them a node has read; not 0 for discovery once it has sent the head of a response.
    read: usize,
    /// The ids of the shard requests that a node has to answer, empty for a health check.
    requests: Vec<String>,
    /// The bytes that the peer has sent and the router has not consumed.
    unconsumed: Vec<u8>,
    established: bool,
    /// The port that it listens on, none for a client.
    port: Option<u16>,
}

impl RemoteEnd {
    fn is_node(&self) -> bool {
        self.port.is_some_and(|port| port != DISCOVERY_PORT)
    }

    fn is_discovery(&self) -> bool {
        self.port == Some(DISCOVERY_PORT)
    }

    fn is_client(&self) -> bool {
        self.port.is_none()
    }
}

/// Peers that act at random.
struct RandomPeers {
    rng: fastrand::Rng,
    ends: BTreeMap<ConnectionId, RemoteEnd>,
    queries: u64,
    revision: u64,
    /// How often each shard request that may be executed only once was sent in full, by its id.
    sent_in_full: BTreeMap<String, usize>,
}

impl Peers for RandomPeers {
    fn carry_out(&mut self, router: &Router, effect: Effect, follow_ups: &mut VecDeque<FollowUp>) {
        match effect {
            Effect::Accept(id) => {
                let end = RemoteEnd { established: true, ..RemoteEnd::default() };
                assert!(self.ends.insert(id, end).is_none());
            }
            Effect::Connect { connection: id, address } => {
                let end = RemoteEnd { port: Some(address.port()), ..RemoteEnd::default() };
                assert!(self.ends.insert(id, end).is_none());
            }
            Effect::Consume { connection: id, count } => {
                if let Some(end) = self.ends.get_mut(&id) {
                    end.unconsumed.drain(..count);
                }
            }
            Effect::Redeliver(id) => follow_ups.push_back(FollowUp::Redeliver(id)),
            Effect::Write { connection: id, buffers }
            | Effect::WriteIfOpen { connection: id, buffers, .. } => {
                let bytes: Vec<u8> = buffers.iter().flat_map(|buffer| buffer.to_vec()).collect();
                let slow = self.rng.u8(0..8) == 0;
                if let Some(end) = self.ends.get_mut(&id) {
                    assert!(end.established, "written on a connection that is not established");
                    end.sent.extend(bytes);
                    if !slow && end.taken + 1 < end.sent.len() {
                        self.take_all(router, id, follow_ups);
                    }
                }
            }
            Effect::CloseIfIdle(id) => {
                if self.ends.get(&id).is_some_and(|end| end.unconsumed.is_empty()) {
                    self.fail(id, follow_ups);
                }
            }
            Effect::Abort(id) => self.fail(id, follow_ups),
            Effect::Close(id) => {
                self.ends.remove(&id);
            }
            Effect::CloseWrite(_) | Effect::WakeAt(_) | Effect::PrintCounters(_) | Effect::Exit => {}
        }
    }

    fn unconsumed(&self, id: ConnectionId) -> Option<Vec<u8>> {
        self.ends.get(&id).map(|end| end.unconsumed.clone())
    }
}

/// The ids of a batch's shard requests.
fn batch_ids(mut content: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    while !content.is_empty() {
        let line_length = content.iter().position(|&byte| byte == b'\n').expect("a line");
        let line = std::str::from_utf8(&content[..line_length]).expect("text");
        let mut words = line.split(' ');
        ids.push(words.next().expect("an id").to_string());
        let text_length: usize = words.nth(2).expect("a length").parse().expect("a length");
        content = &content[line_length + 1 + text_length..];
    }
    ids
}

fn assert_in_progress(router: &Router, request_id: &str) {
    let queries = &router.state.queries;
    let shard_request = queries.shard_requests.iter().find(|(_, request)| *request.id == *request_id);
    let in_progress =
        shard_request.is_some_and(|(_, request)| !queries.query(request.query).expect("a query").has_ended());
    assert!(in_progress, "{request_id} is sent though its query has ended");
}

impl RandomPeers {
    /// The system takes all that is to be written.
    fn take_all(&mut self, router: &Router, id: ConnectionId, follow_ups: &mut VecDeque<FollowUp>) {
        let Some(end) = self.ends.get_mut(&id) else { return };
        end.taken = end.sent.len();
        follow_ups.push_back(FollowUp::Flushed(id));
        if end.is_node() {
            self.read_frames(router, id);
        }
    }

    /// A node reads the frames that came in full.
    fn read_frames(&mut self, router: &Router, id: ConnectionId) {
        let Some(end) = self.ends.get_mut(&id) else { return };
        while let Some(head) = end.sent[..end.taken].get(end.read..end.read + 5) {
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let letter = head[4];
            let Some(content) = end.sent[..end.taken].get(end.read + 5..end.read + 4 + length) else {
                return;
            };
            if letter == b'R' {
                for request_id in batch_ids(content) {
                    assert_in_progress(router, &request_id);
                    if request_id.starts_with("pay") {
                        *self.sent_in_full.entry(request_id.clone()).or_default() += 1;
                    }
                    end.requests.push(request_id);
                }
            } else if letter == b'G' {
                end.requests.push(String::new());
            }
            end.read += 4 + length;
        }
    }

    /// The system closes a socket and says how much it had taken.
    fn fail(&mut self, id: ConnectionId, follow_ups: &mut VecDeque<FollowUp>) {
        if let Some(end) = self.ends.remove(&id) {
            follow_ups.push_back(FollowUp::Ended { connection: id, written_bytes: end.taken as u64 });
        }
    }

    /// Draws one of the connections whose remote end matches.
    fn any(&mut self, matches: impl Fn(&RemoteEnd) -> bool) -> Option<ConnectionId> {
        let matching: Vec<ConnectionId> =
            self.ends.iter().filter(|(_, end)| matches(end)).map(|(id, _)| *id).collect();
        self.rng.choice(matching)
    }

    /// A client's request, good or bad.
    fn request(&mut self) -> Vec<u8> {
        self.queries += 1;
        let class = if self.rng.bool() { "pay" } else { "look" };
        let id = format!("{class}{}", self.queries);
        let shards: Vec<usize> = (0..4).filter(|_| self.rng.bool()).collect();
        let boost = 1.0 / shards.len().max(1) as f64;
        let segments: Vec<String> =
            shards.iter().map(|shard| format!(r#"{{"segment":{shard},"boost":{boost}}}"#)).collect();
        let body = format!(r#"{{"segments":[{}],"text":"q"}}"#, segments.join(","));
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
}

impl Rig<RandomPeers> {
    fn random(seed: u64) -> Self {
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
        let (ends, sent_in_full) = (BTreeMap::new(), BTreeMap::new());
        Rig::with_peers(&config, RandomPeers { rng, ends, queries: 0, revision: 41, sent_in_full })
    }

    /// The system closes a connection and says how much it had taken.
    fn break_off(&mut self, id: ConnectionId) {
        self.peers.fail(id, &mut self.follow_ups);
        self.run_effects();
    }

    /// A peer sends bytes, at once or in two pieces.
    fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        let cut =
            if self.peers.rng.u8(0..6) == 0 { self.peers.rng.usize(0..=bytes.len()) } else { bytes.len() };
        for piece in [&bytes[..cut], &bytes[cut..]] {
            let Some(end) = self.peers.ends.get_mut(&id) else { return };
            if piece.is_empty() {
                continue;
            }
            end.unconsumed.extend(piece);
            let unconsumed = end.unconsumed.clone();
            self.receive(id, &unconsumed);
            if cut < bytes.len() && self.peers.rng.bool() {
                return;
            }
        }
    }

    /// A node sends a response to one of its shard requests, another frame, or nothing that can be used.
    fn node_sends(&mut self, id: ConnectionId) {
        let request_count = self.peers.ends[&id].requests.len();
        let index = self.peers.rng.usize(0..request_count.max(1));
        let end = self.peers.ends.get_mut(&id).filter(|_| request_count > 0);
        let request_id = end.map(|end| end.requests.remove(index));
        let bytes = match (request_id, self.peers.rng.u8(0..24)) {
            (Some(request_id), _) if request_id.is_empty() => frame(b'G', "OK"),
            (_, 0) => frame(b'N', "what was that"),
            (_, 1) => vec![0, 0, 0, 30, b'Y', b'x'],
            (_, 2) => b"noise".to_vec(),
            (None, _) => return,
            (Some(request_id), 3..=5) => frame(b'Y', &format!("{request_id} ERROR 5 -\n")),
            (Some(request_id), 6..=8) => frame(b'Y', &format!("{request_id} REJECTED 5 -\n")),
            (Some(request_id), 9) => frame(b'Y', &format!("{request_id} OK 5 -\nv")).repeat(2),
            (Some(request_id), _) => frame(b'Y', &format!("{request_id} OK 5 -\nv")),
        };
        self.send(id, &bytes);
    }

    /// Discovery sends an update, a blank line, or half an object.
    fn discovery_sends(&mut self, id: ConnectionId) {
        self.peers.revision += self.peers.rng.u64(0..3);
        let mut members = Vec::new();
        for (index, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
            let phase = ["ready", "ready", "draining", "gone"][self.peers.rng.usize(0..4)];
            let up_since = self.peers.rng.u64(0..3) * (START as u64 / 1_000);
            if self.peers.rng.bool() {
                members.push(serde_json::json!({"id": id, "host_port": format!("127.0.0.1:{}", 71 + index),
                    "locality": "z", "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": up_since}));
            }
        }
        let complete = self.peers.rng.u8(0..4) == 0;
        let list =
            serde_json::json!({"revision": self.peers.revision, "complete": complete, "members": members});
        let head = if self.peers.ends[&id].read == 0 {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        } else {
            ""
        };
        if let Some(end) = self.peers.ends.get_mut(&id) {
            end.read = 1;
        }
        let line = match self.peers.rng.u8(0..8) {
            0 => "\n".to_string(),
            1 => "{\"revision\"\n".to_string(),
            _ => format!("{list}\n"),
        };
        self.send(id, format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
    }

    /// Draws one event and lets it happen.
    fn random_event(&mut self) {
        match self.peers.rng.u8(0..40) {
            0..=3 => self.step(Event::ClientConnected),
            4..=11 => self.random_request(),
            12..=13 => self.break_off_any(RemoteEnd::is_client),
            14..=18 => self.establish_any(),
            19..=25 => self.any_node_sends(|end| !end.requests.is_empty()),
            26 => self.any_node_sends(|_| true),
            27 => self.break_off_any(RemoteEnd::is_node),
            28..=29 => self.any_discovery_sends(),
            30 => self.any_discovery_closes(),
            31..=32 => self.any_stalled_write_goes_on(),
            33 => self.discovery_moves(),
            34..=36 => self.decide(),
            _ => {
                let span = [100, 5_000, 100_000, 700_000][self.peers.rng.usize(0..4)];
                self.decide();
                self.advance(span);
            }
        }
    }

    fn random_request(&mut self) {
        let request = self.peers.request();
        if let Some(id) = self.peers.any(RemoteEnd::is_client) {
            self.send(id, &request);
        }
    }

    fn break_off_any(&mut self, matches: impl Fn(&RemoteEnd) -> bool) {
        if let Some(id) = self.peers.any(matches) {
            self.break_off(id);
        }
    }

    fn establish_any(&mut self) {
        if let Some(id) = self.peers.any(|end| !end.established) {
            self.peers.ends.get_mut(&id).expect("an end").established = true;
            self.step(Event::Established(id));
        }
    }

    fn any_node_sends(&mut self, matches: impl Fn(&RemoteEnd) -> bool) {
        if let Some(id) = self.peers.any(|end| end.is_node() && end.established && matches(end)) {
            self.node_sends(id);
        }
    }

    fn any_discovery_sends(&mut self) {
        if let Some(id) = self.peers.any(|end| end.is_discovery() && end.established) {
            self.discovery_sends(id);
        }
    }

    fn any_discovery_closes(&mut self) {
        if let Some(id) = self.peers.any(RemoteEnd::is_discovery) {
            self.step(Event::PeerClosed(id));
            self.break_off(id);
        }
    }

    /// The system takes the rest of what is to be written on a connection.
    fn any_stalled_write_goes_on(&mut self) {
        if let Some(id) = self.peers.any(|end| end.taken < end.sent.len()) {
            self.peers.take_all(&self.router, id, &mut self.follow_ups);
            self.run_effects();
        }
    }

    fn discovery_moves(&mut self) {
        let address = if self.peers.rng.bool() { "127.0.0.1:9" } else { "127.0.0.2:9" };
        self.step(Event::DiscoveryMoved(address.parse().expect("an address")));
    }
}

#[test]
fn any_sequence_of_events_keeps_the_invariants_and_releases_everything() {
    for seed in 0..60 {
        let mut rig = Rig::random(seed);
        for _ in 0..600 {
            rig.random_event();
        }
        rig.decide();
        rig.step(Event::Terminate);
        for _ in 0..40 {
            rig.random_event();
            rig.advance(10_000);
        }
        // The process may be killed this long after; by then all are answered whose answers can be written.
        rig.advance(KILL_DELAY + 2_000_000);
        rig.decide();
        let state = &rig.router.state;
        assert_eq!(state.queries.open_count(), 0, "seed {seed}: a query without an answer");
        let clients: Vec<ConnectionId> =
            rig.peers.ends.iter().filter(|(_, end)| end.is_client()).map(|(id, _)| *id).collect();
        for id in clients {
            rig.break_off(id);
        }
        // Clients that wait for one of few connections are accepted one after the other, each for two seconds.
        rig.advance(200_000_000);
        let state = &rig.router.state;
        assert!(rig.exit, "seed {seed}: the router does not exit");
        assert_eq!((state.queries.queries.len(), state.queries.shard_requests.len()), (0, 0), "seed {seed}");
        let known: BTreeSet<ConnectionId> = state.context.connections.ids().collect();
        assert_eq!(
            known,
            rig.peers.ends.keys().copied().collect(),
            "seed {seed}: connections without a peer"
        );
        assert_eq!(state.context.counters.invariants_violated, 0);
        // What may not be executed twice was sent in full once, unless a node rejected it.
        let rejected = state.context.counters.attempts_rejected;
        let again = rig.peers.sent_in_full.values().filter(|&&times| times > 1).count() as u64;
        assert!(again <= rejected, "seed {seed}: {again} sent again, {rejected} rejected");
    }
}
