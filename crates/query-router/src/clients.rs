//! Connections of clients: requests in, answers out, one at a time on each.

use crate::config::{Config, names_in_list};
use crate::io::{ConnectionId, Effect};
use crate::protocol::http::{self, MAX_REQUEST_BYTES, Request};
use crate::protocol::query_request::{QueryVocabulary, RequestedShard};
use crate::reducer::{Desk, Kind, Peer, Router};
use balancer::{Events, Micros, QueryArrival, QueryId, ShardRequestArrival, ShardRequestId};

/// How long a new connection is left in peace without a request, as the operators state it.
const SILENT: Micros = 2_000_000;
/// How long a connection that was closed gently is still read.
const LINGER: Micros = 1_000_000;
/// What of the memory may be taken up by what came of requests that are not whole: one part of so many.
const UNTAKEN: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Hand {
    Empty,
    /// To be closed for want of sockets, unless a request has come in unread.
    Parting,
    /// A request has begun to come in.
    Begun,
    Retrieval(usize),
    /// An answer is being written.
    Answer,
    /// Closed by us; what still comes is disregarded.
    Leaving,
}

#[derive(Debug)]
pub struct Client {
    pub hand: Hand,
    since: Micros,
    /// It may be turned loose. One that is new was opened for a request, which is about to come.
    loose: bool,
    /// It is closed after the answer in hand.
    last: bool,
    /// How many bytes came on it that are not taken.
    untaken: usize,
}

impl Client {
    pub fn idle_since(&self) -> Option<Micros> {
        (self.hand == Hand::Empty && self.loose).then_some(self.since)
    }
}

pub struct Clients {
    /// Those that arrived and wait for a socket to become free.
    held_back: usize,
    /// The longest deadline of any service class: how long a client may take to send or to read.
    pub longest: Micros,
    /// How many bytes came of all clients that are not taken, and how many there may be.
    untaken: usize,
    most_untaken: usize,
    /// The most retrievals and parts held at a time.
    most_held: Option<usize>,
    terms: QueryVocabulary,
}

impl Clients {
    pub fn new(config: &Config) -> Clients {
        let settings = &config.settings;
        let classes = names_in_list(settings, "class");
        let deadline = (0..classes.len()).map(|g| config.micros(&format!("class.{g}.deadline_us")));
        Clients {
            held_back: 0,
            longest: deadline.max().unwrap_or(0),
            untaken: 0,
            most_untaken: config.max_memory_bytes.map_or(usize::MAX, |most| most / UNTAKEN),
            most_held: settings
                .number("limits.max_in_flight")
                .map(|most| most as usize)
                .filter(|&most| most > 0),
            terms: QueryVocabulary {
                classes,
                tenants: names_in_list(settings, "tenant"),
                shards: config.count("shards.count"),
            },
        }
    }
}

impl Desk {
    pub fn arrived(&mut self) {
        self.clients.held_back += 1;
        self.counters.client_connections_arrived += 1;
        self.adopt();
        self.counters.client_connections_delayed += (self.clients.held_back > 0) as u64;
    }

    /// Takes on those that arrived, as far as there are sockets.
    pub fn adopt(&mut self) {
        while self.clients.held_back > 0 {
            let client = Client { hand: Hand::Empty, since: self.now, loose: false, last: false, untaken: 0 };
            let Some(conn) = self.open(Kind::Client(client)) else { return };
            self.clients.held_back -= 1;
            self.effects.push(Effect::Adopt(conn));
            let wait = if self.closing { LINGER } else { SILENT };
            self.wake_at(conn, Some(self.now + wait));
            self.thin_out();
        }
    }

    pub fn client(&mut self, conn: ConnectionId) -> &mut Client {
        match &mut self.peers[conn].kind {
            Kind::Client(client) => client,
            _ => unreachable!("the connection of a client"),
        }
    }

    /// The clients without a request in hand.
    fn resting(&self) -> impl Iterator<Item = (ConnectionId, &Client)> {
        self.peers.iter().filter_map(|(conn, peer)| match &peer.kind {
            Kind::Client(client) if client.hand == Hand::Empty => Some((conn, client)),
            _ => None,
        })
    }

    /// Turns an idle client loose. Guards against a request that has come in and was not read yet.
    pub fn part_with(&mut self, conn: ConnectionId) {
        self.counters.client_connections_evicted += 1;
        self.client(conn).hand = Hand::Parting;
        self.effects.push(Effect::Part(conn));
    }

    /// So many bytes of what came on a connection stand untaken now. Guards against many requests that begin and are
    /// never whole, or stand behind others, each within its own bound and together beyond the memory.
    fn hold(&mut self, conn: ConnectionId, count: usize) {
        let before = std::mem::replace(&mut self.client(conn).untaken, count);
        self.clients.untaken = self.clients.untaken - before + count;
    }

    fn taken(&mut self, conn: ConnectionId, count: usize) {
        let left = self.client(conn).untaken.saturating_sub(count);
        self.hold(conn, left);
        self.effects.push(Effect::Taken(conn, count));
    }

    /// Its untaken bytes are no more.
    pub fn let_go_of(&mut self, client: &Client) {
        self.clients.untaken -= client.untaken;
    }

    /// Closes between requests so that one which crosses the close meets no reset: its client asks again.
    fn leave(&mut self, conn: ConnectionId) {
        self.client(conn).hand = Hand::Leaving;
        self.effects.push(Effect::Finish(conn));
        self.wake_at(conn, Some(self.now + LINGER));
    }

    pub fn close_idle_clients(&mut self) {
        self.closing = true;
        let idle: Vec<ConnectionId> = self.resting().map(|(conn, _)| conn).collect();
        idle.into_iter().for_each(|conn| self.leave(conn));
    }

    /// Answers what has not come in whole by the end of a planned end.
    pub fn refuse_unfinished(&mut self) {
        let begun = |peer: &Peer| matches!(&peer.kind, Kind::Client(client) if client.hand == Hand::Begun);
        let begun: Vec<ConnectionId> =
            self.peers.iter().filter(|(_, peer)| begun(peer)).map(|x| x.0).collect();
        begun.into_iter().for_each(|conn| self.say(conn, 503, "ending"));
    }

    pub fn client_alarm(&mut self, conn: ConnectionId) {
        let hand = self.client(conn).hand;
        match hand {
            Hand::Begun => {
                self.client(conn).last = true;
                self.say(conn, 408, "the request took too long to come");
            }
            Hand::Empty if self.closing => self.leave(conn),
            Hand::Empty => {
                self.client(conn).loose = true;
                self.thin_out();
            }
            Hand::Parting | Hand::Retrieval(_) => {}
            Hand::Answer | Hand::Leaving => self.close(conn),
        }
    }

    pub fn answer_flushed(&mut self, conn: ConnectionId) {
        let now = self.now;
        let client = self.client(conn);
        if client.hand != Hand::Answer {
            return;
        }
        if client.last {
            return self.leave(conn);
        }
        (client.hand, client.since, client.loose) = (Hand::Empty, now, true);
        // Guards against a planned end that began behind this answer's head, which asks for more: what was read
        // behind the request is taken before the connection is left.
        self.wake_at(conn, self.closing.then_some(now));
        self.effects.push(Effect::Read(conn));
        self.thin_out();
    }

    /// Guards against clients that ask once and stay, or never ask: clients may hold a third of the sockets for
    /// requests, and of that at most half may have none, so that others find room. The longest idle go first.
    fn thin_out(&mut self) {
        let beyond = self.resting().count().saturating_sub((self.most_peers / 6).max(1));
        if beyond > 0 {
            let idle = self.resting().filter_map(|(conn, client)| Some((client.idle_since()?, conn)));
            let mut idle: Vec<(Micros, ConnectionId)> = idle.collect();
            idle.sort_unstable();
            idle.into_iter().take(beyond).for_each(|(_, conn)| self.part_with(conn));
        }
    }

    /// Writes an answer; the client has as long to read it as it may wait for one.
    pub fn reply(
        &mut self, conn: ConnectionId, status: u16, kind: &str, body: Vec<u8>, advice: Option<Micros>,
    ) {
        let (stopping, longest, now) = (self.stopping, self.clients.longest, self.now);
        let client = self.client(conn);
        client.hand = Hand::Answer;
        client.last |= stopping;
        let head = http::OutgoingHead {
            status,
            content_type: kind,
            content_length: body.len(),
            retry_after_seconds: advice.map(|wait| wait as f64 / 1e6),
            closes_connection: client.last,
        }
        .encode();
        self.effects.push(Effect::Write(conn, vec![head.into_bytes().into(), body.into()]));
        self.wake_at(conn, Some(now + longest));
    }

    fn say(&mut self, conn: ConnectionId, status: u16, line: &str) {
        self.reply(conn, status, "text/plain", format!("{line}\n").into_bytes(), None);
    }
}

impl Router {
    pub fn client_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let (now, longest) = (self.desk.now, self.desk.clients.longest);
        self.desk.hold(conn, bytes.len());
        let crowded = self.desk.clients.untaken > self.desk.clients.most_untaken;
        let client = self.desk.client(conn);
        match client.hand {
            Hand::Parting => client.hand = Hand::Empty,
            // Guards against one that sends much at once and goes: its end lies behind what is not read.
            Hand::Retrieval(_) | Hand::Answer
                if client.last || crowded || bytes.len() >= MAX_REQUEST_BYTES =>
            {
                client.last = true;
                return self.desk.taken(conn, bytes.len());
            }
            Hand::Retrieval(_) | Hand::Answer => return,
            Hand::Leaving => return self.desk.taken(conn, bytes.len()),
            Hand::Empty | Hand::Begun => {}
        }
        match http::parse_request(bytes) {
            Ok(None) if crowded => {
                client.last = true;
                self.desk.counters.requests_over_memory += 1;
                self.desk.taken(conn, bytes.len());
                self.desk.say(conn, 503, "too much has come of requests that are not whole");
            }
            Ok(None) => {
                if client.hand == Hand::Empty && !bytes.is_empty() {
                    client.hand = Hand::Begun;
                    let ends_at = self.desk.ends_at.unwrap_or(Micros::MAX);
                    self.desk.wake_at(conn, Some(ends_at.min(now + longest)));
                }
                if http::expects_continue(bytes) {
                    let word = b"HTTP/1.1 100 Continue\r\n\r\n"[..].into();
                    self.desk.effects.push(Effect::Write(conn, vec![word]));
                }
            }
            Ok(Some(request)) => {
                client.last = request.closes_connection;
                self.desk.taken(conn, request.encoded_length);
                self.desk.wake_at(conn, None);
                self.request(conn, &request);
            }
            Err(error) => {
                client.last = true;
                self.desk.taken(conn, bytes.len());
                self.desk.counters.requests_invalid += 1;
                self.desk.say(conn, error.status(), &error.to_string());
            }
        }
    }

    fn request(&mut self, conn: ConnectionId, request: &Request) {
        let path = request.path.split('?').next().unwrap_or("");
        let due = match path {
            "/api" => "POST",
            "/-/ready" | "/-/healthy" | "/-/counters" => "GET",
            _ => return self.desk.say(conn, 404, "nothing is served under this path"),
        };
        if request.method != due {
            return self.desk.say(conn, 405, &format!("this path takes {due}"));
        }
        match path {
            "/-/ready" if self.desk.stopping => self.desk.say(conn, 503, "ending"),
            "/-/counters" => {
                let lines = self.desk.counters.lines();
                self.desk.reply(conn, 200, "text/plain", lines.into_bytes(), None);
            }
            "/api" => self.query(conn, request),
            _ => self.desk.say(conn, 200, "OK"),
        }
    }

    fn query(&mut self, conn: ConnectionId, request: &Request) {
        let desk = &mut self.desk;
        let query = match desk.clients.terms.parse(request) {
            Ok(query) if !desk.gather.holds(request.trace_id) => query,
            other => {
                desk.counters.requests_invalid += 1;
                let in_hand = "a retrieval with this X-Trace-Id is in hand".to_string();
                return desk.say(conn, 400, &other.err().map_or(in_hand, |error| error.to_string()));
            }
        };
        if desk.clients.most_held.is_some_and(|most| desk.gather.open >= most) {
            desk.counters.queries_over_limit += 1;
            return desk.say(conn, 503, "too many retrievals are in hand");
        }
        let (now, until) = (desk.now, desk.now + query.deadline);
        let until = desk.ends_at.map_or(until, |at| at.min(until));
        desk.counters.queries_accepted += 1;
        let retrieval = desk.gather.open(request.trace_id, conn, until, query.text);
        desk.client(conn).hand = Hand::Retrieval(retrieval);
        let work = query.shards.iter().map(|s| s.work).sum();
        let (class, parts) = (query.class, query.shards.len());
        self.balance.query_arrived(
            now,
            &QueryArrival {
                query: QueryId(retrieval),
                class,
                tenant: query.tenant,
                deadline: until,
                work,
                shard_requests: parts,
                is_retry: request.is_retry,
            },
        );
        for RequestedShard { shard, weight, work } in query.shards {
            let part = self.desk.gather.add(retrieval, shard);
            self.balance.shard_request_arrived(
                now,
                &ShardRequestArrival {
                    shard_request: ShardRequestId(part),
                    query: QueryId(retrieval),
                    shard,
                    weight,
                    work,
                },
            );
        }
        self.desk.unsettled = true;
    }

    pub fn client_ended(&mut self, conn: ConnectionId) {
        if let Hand::Retrieval(retrieval) = self.desk.client(conn).hand {
            self.desk.gather.leave(retrieval);
            self.desk.take_back(retrieval);
            self.desk.counters.queries_abandoned_by_client += 1;
            self.balance.client_disconnected(self.desk.now, QueryId(retrieval));
            self.desk.unsettled = true;
        }
        self.desk.close(conn);
    }
}
