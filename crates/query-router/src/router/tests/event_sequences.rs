//! Tests of random sequences of events from clients, nodes, discovery and the operating system, with fixed seeds. The
//! simulated peers parse the bytes written to them, and respond, disconnect, or send repeated or malformed responses. A
//! violated invariant panics in tests.

use super::*;

/// The value that nodes return for each shard request.
const VALUE: &str = "5be2a07c";

/// The simulated peer of a connection.
#[derive(Default)]
struct RemoteEnd {
    /// All bytes that the router has written.
    sent: Vec<u8>,
    /// The number of bytes of `sent` that the operating system has accepted.
    accepted_bytes: usize,
    /// The number of bytes of `sent` that a node has parsed. For discovery, 1 once the head of a response is sent.
    parsed_bytes: usize,
    /// The ids of the shard requests to which the node has not responded; an empty string for a health check.
    requests: Vec<String>,
    /// The bytes that the peer has sent and that the router has not consumed.
    unconsumed: Vec<u8>,
    established: bool,
    /// The port on which the peer listens; `None` for a client.
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

/// Peers that act at random, and the state that they keep.
struct RandomPeers {
    rng: fastrand::Rng,
    remote_ends: BTreeMap<ConnectionId, RemoteEnd>,
    /// The number of client requests generated so far, which makes the ids of their queries unique.
    generated_requests: u64,
    revision: u64,
    /// The number of times that each non-idempotent shard request was sent in full, by id.
    sent_in_full: BTreeMap<String, usize>,
}

impl Peers for RandomPeers {
    fn apply_effect(&mut self, router: &Router, effect: Effect, follow_ups: &mut VecDeque<FollowUp>) {
        match effect {
            Effect::Accept(id) => {
                let end = RemoteEnd { established: true, ..RemoteEnd::default() };
                assert!(self.remote_ends.insert(id, end).is_none());
            }
            Effect::Connect { connection: id, address } => {
                let end = RemoteEnd { port: Some(address.port()), ..RemoteEnd::default() };
                assert!(self.remote_ends.insert(id, end).is_none());
            }
            Effect::Consume { connection: id, count } => {
                if let Some(end) = self.remote_ends.get_mut(&id) {
                    end.unconsumed.drain(..count);
                }
            }
            Effect::Redeliver(id) => follow_ups.push_back(FollowUp::Redeliver(id)),
            Effect::Write { connection: id, buffers }
            | Effect::WriteIfOpen { connection: id, buffers, .. } => {
                let bytes: Vec<u8> = buffers.iter().flat_map(|buffer| buffer.to_vec()).collect();
                assert_values_are_complete(&bytes);
                let is_slow = self.rng.u8(0..8) == 0;
                if let Some(end) = self.remote_ends.get_mut(&id) {
                    assert!(end.established, "bytes written on a connection that is not established");
                    end.sent.extend(bytes);
                    if !is_slow && end.accepted_bytes + 1 < end.sent.len() {
                        self.accept_all(router, id, follow_ups);
                    }
                }
            }
            Effect::CloseIfIdle(id) => {
                if self.remote_ends.get(&id).is_some_and(|end| end.unconsumed.is_empty()) {
                    self.end_connection(id, follow_ups);
                }
            }
            Effect::Abort(id) => self.end_connection(id, follow_ups),
            Effect::Close(id) => {
                self.remote_ends.remove(&id);
            }
            Effect::CloseWrite(_) | Effect::WakeAt(_) | Effect::PrintCounters(_) | Effect::Exit => {}
        }
    }

    fn unconsumed(&self, id: ConnectionId) -> Option<Vec<u8>> {
        self.remote_ends.get(&id).map(|end| end.unconsumed.clone())
    }
}

/// Returns the ids of the shard requests in the payload of a batch frame.
fn batch_ids(mut payload: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    while !payload.is_empty() {
        let line_length = payload.iter().position(|&byte| byte == b'\n').expect("a complete line");
        let line = std::str::from_utf8(&payload[..line_length]).expect("a line in UTF-8");
        let mut words = line.split(' ');
        ids.push(words.next().expect("the id of a shard request").to_string());
        let text_length: usize = words.nth(2).expect("the length of the text").parse().expect("a number");
        payload = &payload[line_length + 1 + text_length..];
    }
    ids
}

/// Asserts that bytes for a client contain no value other than [`VALUE`].
fn assert_values_are_complete(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    for value in text.split("\"payload\":").skip(1) {
        assert!(value.starts_with(&format!("\"{VALUE}\"")), "a client gets {text}");
    }
}

/// Asserts that the query of a shard request has not ended.
fn assert_in_progress(router: &Router, request_id: &str) {
    let queries = &router.state.queries;
    let shard_request = queries.shard_requests.iter().find(|(_, request)| *request.id == *request_id);
    let in_progress =
        shard_request.is_some_and(|(_, request)| !queries.query(request.query).expect("a query").has_ended());
    assert!(in_progress, "shard request {request_id} was sent after its query had ended");
}

impl RandomPeers {
    /// The operating system accepts all bytes to be written; a node parses them.
    fn accept_all(&mut self, router: &Router, id: ConnectionId, follow_ups: &mut VecDeque<FollowUp>) {
        let Some(end) = self.remote_ends.get_mut(&id) else { return };
        end.accepted_bytes = end.sent.len();
        follow_ups.push_back(FollowUp::Flushed(id));
        if end.is_node() {
            self.parse_frames(router, id);
        }
    }

    /// A node parses the frames that it has received in full.
    fn parse_frames(&mut self, router: &Router, id: ConnectionId) {
        let Some(end) = self.remote_ends.get_mut(&id) else { return };
        while let Some(head) = end.sent[..end.accepted_bytes].get(end.parsed_bytes..end.parsed_bytes + 5) {
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let kind = head[4];
            let Some(payload) =
                end.sent[..end.accepted_bytes].get(end.parsed_bytes + 5..end.parsed_bytes + 4 + length)
            else {
                return;
            };
            if kind == b'R' {
                for request_id in batch_ids(payload) {
                    assert_in_progress(router, &request_id);
                    if request_id.starts_with("pay") {
                        *self.sent_in_full.entry(request_id.clone()).or_default() += 1;
                    }
                    end.requests.push(request_id);
                }
            } else if kind == b'G' {
                end.requests.push(String::new());
            }
            end.parsed_bytes += 4 + length;
        }
    }

    /// Removes a connection and queues the report of its end with the number of accepted bytes.
    fn end_connection(&mut self, id: ConnectionId, follow_ups: &mut VecDeque<FollowUp>) {
        if let Some(end) = self.remote_ends.remove(&id) {
            follow_ups
                .push_back(FollowUp::Ended { connection: id, written_bytes: end.accepted_bytes as u64 });
        }
    }

    /// Returns a random connection whose remote end matches; `None` if there is none.
    fn random_connection(&mut self, matches: impl Fn(&RemoteEnd) -> bool) -> Option<ConnectionId> {
        let matching: Vec<ConnectionId> =
            self.remote_ends.iter().filter(|(_, end)| matches(end)).map(|(id, _)| *id).collect();
        self.rng.choice(matching)
    }

    /// Returns a random request of a client: a valid or invalid query, or a readiness check.
    fn random_request(&mut self) -> Vec<u8> {
        self.generated_requests += 1;
        let class = if self.rng.bool() { "pay" } else { "look" };
        let id = format!("{class}{}", self.generated_requests);
        let shards: Vec<usize> = (0..4).filter(|_| self.rng.bool()).collect();
        let boost = 1.0 / shards.len().max(1) as f64;
        let segments: Vec<String> =
            shards.iter().map(|shard| format!(r#"{{"segment":{shard},"boost":{boost}}}"#)).collect();
        let body = format!(r#"{{"segments":[{}],"text":"q"}}"#, segments.join(","));
        let deadline_ms = self.rng.u32(1..2_500).to_string();
        match self.rng.u8(0..12) {
            0 => b"GET /-/ready HTTP/1.1\r\n\r\n".to_vec(),
            1 => b"no request at all\r\n\r\n".to_vec(),
            2 => [query_request(class, &id, &body), query_request(class, &format!("{id}b"), &body)]
                .concat()
                .into_bytes(),
            3 => [
                query_request(class, &id, &body).into_bytes(),
                vec![b'x'; crate::protocol::http::MAX_REQUEST_BYTES],
            ]
            .concat(),
            _ => query_request(class, &id, &body).replace("1500", &deadline_ms).into_bytes(),
        }
    }
}

impl Rig<RandomPeers> {
    fn with_random_peers(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("valid JSON");
        config["limits"]["sockets"] = rng.u32(18..40).into();
        config["settings"]["tickNs"] = [0, 5_000_000][rng.usize(0..2)].into();
        config["settings"]["registryMode"] = ["ask", "push"][rng.usize(0..2)].into();
        config["settings"]["ceilings"]["cancelling"] = rng.bool().into();
        config["settings"]["ceilings"]["parallelTries"] = rng.bool().into();
        config["settings"]["ceilings"]["openCap"] = 40.into();
        config["settings"]["obligations"]["drainGraceNs"] = 500_000_000.into();
        let config = Config::parse(&config.to_string()).expect("a valid configuration");
        let (remote_ends, sent_in_full) = (BTreeMap::new(), BTreeMap::new());
        Rig::with_peers(
            &config,
            RandomPeers { rng, remote_ends, generated_requests: 0, revision: 41, sent_in_full },
        )
    }

    /// Ends a connection and reports the number of accepted bytes to the router.
    fn disconnect(&mut self, id: ConnectionId) {
        self.peers.end_connection(id, &mut self.follow_ups);
        self.run_effects();
    }

    /// A peer sends bytes in one piece or in two, the second of which may be missing.
    fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        let cut =
            if self.peers.rng.u8(0..6) == 0 { self.peers.rng.usize(0..=bytes.len()) } else { bytes.len() };
        for piece in [&bytes[..cut], &bytes[cut..]] {
            let Some(end) = self.peers.remote_ends.get_mut(&id) else { return };
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

    /// A node sends a response to one of its requests, another frame, or malformed bytes.
    fn node_sends(&mut self, id: ConnectionId) {
        let request_count = self.peers.remote_ends[&id].requests.len();
        let index = self.peers.rng.usize(0..request_count.max(1));
        let end = self.peers.remote_ends.get_mut(&id).filter(|_| request_count > 0);
        let request_id = end.map(|end| end.requests.remove(index));
        let bytes = match (request_id, self.peers.rng.u8(0..24)) {
            (Some(request_id), _) if request_id.is_empty() => frame(b'G', "OK"),
            (_, 0) => frame(b'N', "what was that"),
            (_, 1) => vec![0, 0, 0, 30, b'Y', b'x'],
            (_, 2) => b"noise".to_vec(),
            (None, _) => return,
            (Some(request_id), 3..=5) => frame(b'Y', &format!("{request_id} ERROR 5 -\n")),
            (Some(request_id), 6..=8) => frame(b'Y', &format!("{request_id} REJECTED 5 -\n")),
            (Some(request_id), 9) => frame(b'Y', &format!("{request_id} OK 5 -\n{VALUE}")).repeat(2),
            (Some(request_id), 10..=11) => return self.send_cut_off_response(id, &request_id),
            (Some(request_id), _) => frame(b'Y', &format!("{request_id} OK 5 -\n{VALUE}")),
        };
        self.send(id, &bytes);
    }

    /// A node sends a response whose length is too small, in one piece or in two, and in some cases a frame after it.
    fn send_cut_off_response(&mut self, id: ConnectionId, request_id: &str) {
        let payload = format!("{request_id} OK 5 -\n{VALUE}");
        let missing = self.peers.rng.usize(1..=VALUE.len());
        let mut bytes = frame(b'Y', &payload);
        let stated_end = bytes.len() - missing;
        bytes[..4].copy_from_slice(&((payload.len() + 1 - missing) as u32).to_be_bytes());
        if self.peers.rng.bool() {
            bytes.extend(frame(b'Y', &payload));
        }
        let split = if self.peers.rng.bool() { stated_end } else { self.peers.rng.usize(0..bytes.len()) };
        for piece in [&bytes[..split], &bytes[split..]] {
            let Some(end) = self.peers.remote_ends.get_mut(&id) else { return };
            end.unconsumed.extend(piece);
            let unconsumed = end.unconsumed.clone();
            self.receive(id, &unconsumed);
        }
    }

    /// Discovery sends an update, a blank line, or a truncated object.
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
        let head = if self.peers.remote_ends[&id].parsed_bytes == 0 {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        } else {
            ""
        };
        if let Some(end) = self.peers.remote_ends.get_mut(&id) {
            end.parsed_bytes = 1;
        }
        let line = match self.peers.rng.u8(0..8) {
            0 => "\n".to_string(),
            1 => "{\"revision\"\n".to_string(),
            _ => format!("{list}\n"),
        };
        self.send(id, format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
    }

    /// Applies one random event.
    fn random_event(&mut self) {
        match self.peers.rng.u8(0..40) {
            0..=3 => self.step(Event::ClientConnected),
            4..=11 => self.random_client_sends(),
            12..=13 => self.random_peer_disconnects(RemoteEnd::is_client),
            14..=18 => self.establish_random_connection(),
            19..=25 => self.random_node_sends(|end| !end.requests.is_empty()),
            26 => self.random_node_sends(|_| true),
            27 => self.random_peer_disconnects(RemoteEnd::is_node),
            28..=29 => self.random_discovery_connection_sends(),
            30 => self.random_discovery_connection_closes(),
            31..=32 => self.resume_random_stalled_write(),
            33 => self.move_discovery(),
            34..=36 => self.decide(),
            _ => {
                let span = [100, 5_000, 100_000, 700_000][self.peers.rng.usize(0..4)];
                self.decide();
                self.advance(span);
            }
        }
    }

    fn random_client_sends(&mut self) {
        let request = self.peers.random_request();
        if let Some(id) = self.peers.random_connection(RemoteEnd::is_client) {
            self.send(id, &request);
        }
    }

    fn random_peer_disconnects(&mut self, matches: impl Fn(&RemoteEnd) -> bool) {
        if let Some(id) = self.peers.random_connection(matches) {
            self.disconnect(id);
        }
    }

    fn establish_random_connection(&mut self) {
        if let Some(id) = self.peers.random_connection(|end| !end.established) {
            self.peers.remote_ends.get_mut(&id).expect("a remote end of this connection").established = true;
            self.step(Event::Established(id));
        }
    }

    fn random_node_sends(&mut self, matches: impl Fn(&RemoteEnd) -> bool) {
        if let Some(id) = self.peers.random_connection(|end| end.is_node() && end.established && matches(end))
        {
            self.node_sends(id);
        }
    }

    fn random_discovery_connection_sends(&mut self) {
        if let Some(id) = self.peers.random_connection(|end| end.is_discovery() && end.established) {
            self.discovery_sends(id);
        }
    }

    fn random_discovery_connection_closes(&mut self) {
        if let Some(id) = self.peers.random_connection(RemoteEnd::is_discovery) {
            self.step(Event::PeerClosed(id));
            self.disconnect(id);
        }
    }

    /// The operating system accepts the remaining bytes of a connection with a stalled write.
    fn resume_random_stalled_write(&mut self) {
        if let Some(id) = self.peers.random_connection(|end| end.accepted_bytes < end.sent.len()) {
            self.peers.accept_all(&self.router, id, &mut self.follow_ups);
            self.run_effects();
        }
    }

    fn move_discovery(&mut self) {
        let address = if self.peers.rng.bool() { "127.0.0.1:9" } else { "127.0.0.2:9" };
        self.step(Event::DiscoveryAddressReloaded(address.parse().expect("a valid address")));
    }
}

#[test]
fn random_sequences_of_events_keep_the_invariants_and_release_all_state() {
    for seed in 0..60 {
        let mut rig = Rig::with_random_peers(seed);
        for _ in 0..600 {
            rig.random_event();
        }
        rig.decide();
        rig.step(Event::Terminate);
        for _ in 0..40 {
            rig.random_event();
            rig.advance(10_000);
        }
        // The process may be killed after this time. By then, every query whose response can be written is answered.
        rig.advance(KILL_DELAY + 2_000_000);
        rig.decide();
        let state = &rig.router.state;
        assert_eq!(state.queries.open_count(), 0, "seed {seed}: a query is not answered");
        let clients: Vec<ConnectionId> =
            rig.peers.remote_ends.iter().filter(|(_, end)| end.is_client()).map(|(id, _)| *id).collect();
        for id in clients {
            rig.disconnect(id);
        }
        // Clients that wait at the connection limit are accepted one after the other, and each is kept for two seconds.
        rig.advance(200_000_000);
        let state = &rig.router.state;
        assert!(rig.exit_requested, "seed {seed}: the router does not exit");
        assert_eq!((state.queries.queries.len(), state.queries.shard_requests.len()), (0, 0), "seed {seed}");
        let router_connections: BTreeSet<ConnectionId> = state.context.connections.ids().collect();
        assert_eq!(
            router_connections,
            rig.peers.remote_ends.keys().copied().collect(),
            "seed {seed}: the connections of the router differ from those of the peers"
        );
        assert_eq!(state.context.counters.invariants_violated, 0);
        // A non-idempotent shard request is sent in full only once, unless a node rejected it.
        let rejected = state.context.counters.attempts_rejected;
        let repeated = rig.peers.sent_in_full.values().filter(|&&count| count > 1).count() as u64;
        assert!(repeated <= rejected, "seed {seed}: {repeated} sent again, {rejected} rejected");
    }
}
