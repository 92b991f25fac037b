//! What flooding clients send.

use argh::FromArgValue;
use std::fmt::Write;

/// The kind of the requests of a flooding client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Queries without an id and without a deadline.
    NoId,
    /// Health checks.
    HealthChecks,
    /// Requests for the counters.
    Counters,
    /// Requests for paths that do not exist, each one new.
    NewPaths,
    /// Queries of classes that do not exist, each one new.
    NewClasses,
    /// Queries for shards that do not exist, each one new.
    NewShards,
    /// Queries of tenants that do not exist, each one new.
    NewTenants,
    /// Valid queries, each of a new user.
    NewUsers,
    /// Valid queries.
    Valid,
    /// Valid queries that all have the same id.
    SameId,
    /// Empty lines between requests.
    EmptyLines,
    /// Requests with 60 short header fields.
    ManyFields,
    /// Queries whose body comes in chunks of one byte.
    ByteChunks,
    /// Large bodies that are written slowly.
    SlowBodies,
    /// Requests of which the second half never comes.
    HalfRequests,
    /// Heads of very many short fields that never end.
    EndlessHeads,
    /// Valid queries with a large text.
    LargeQueries,
    /// Health checks whose answers are not read.
    UnreadAnswers,
    /// Valid queries with large answers that are not read.
    UnreadValues,
    /// Nothing: the process computes for as much time as a flood would take. It shows what the machine does by itself.
    Nothing,
}

/// Names of the kinds on the command line.
pub const NAMES: [(&str, FloodKind); 20] = [
    ("no-id", FloodKind::NoId),
    ("health-checks", FloodKind::HealthChecks),
    ("counters", FloodKind::Counters),
    ("new-paths", FloodKind::NewPaths),
    ("new-classes", FloodKind::NewClasses),
    ("new-shards", FloodKind::NewShards),
    ("new-tenants", FloodKind::NewTenants),
    ("new-users", FloodKind::NewUsers),
    ("valid", FloodKind::Valid),
    ("same-id", FloodKind::SameId),
    ("empty-lines", FloodKind::EmptyLines),
    ("many-fields", FloodKind::ManyFields),
    ("byte-chunks", FloodKind::ByteChunks),
    ("slow-bodies", FloodKind::SlowBodies),
    ("half-requests", FloodKind::HalfRequests),
    ("endless-heads", FloodKind::EndlessHeads),
    ("large-queries", FloodKind::LargeQueries),
    ("unread-answers", FloodKind::UnreadAnswers),
    ("unread-values", FloodKind::UnreadValues),
    ("nothing", FloodKind::Nothing),
];

/// The service class that floods of valid queries use.
pub const CLASS: &str = "report";
/// The tenant of valid queries.
pub const TENANT: &str = "main";
/// The deadline of valid queries in a flood.
const DEADLINE_MS: u32 = 480;
/// The size of a body that is written slowly or never ends.
pub const LARGE_BODY_BYTES: usize = 60_000;

impl FromArgValue for FloodKind {
    fn from_arg_value(value: &str) -> Result<FloodKind, String> {
        let found = NAMES.iter().find(|(name, _)| *name == value);
        found.map(|(_, kind)| *kind).ok_or_else(|| format!("unknown kind of flood: {value}"))
    }
}

impl FloodKind {
    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        NAMES.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Returns the next request; `number` makes its names unique in the run.
    pub fn request(self, number: u64) -> Vec<u8> {
        let process = std::process::id();
        let id = format!("f{process}-{number}");
        match self {
            FloodKind::NoId => {
                let body = body(3);
                format!(
                    "POST /api HTTP/1.1\r\nX-Qos: {CLASS}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .into_bytes()
            }
            FloodKind::HealthChecks | FloodKind::UnreadAnswers => {
                b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()
            }
            FloodKind::Counters => b"GET /-/counters HTTP/1.1\r\n\r\n".to_vec(),
            FloodKind::NewPaths => format!("GET /p{process}/{number} HTTP/1.1\r\n\r\n").into_bytes(),
            FloodKind::NewClasses => query(&format!("c{number}"), &id, "", 3),
            FloodKind::NewShards => query(CLASS, &id, "", 1000 + number),
            FloodKind::NewTenants => query(CLASS, &id, &format!("X-Customer: t{number}\r\n"), 3),
            FloodKind::NewUsers => query(CLASS, &id, &format!("Cookie: user={number:016x}\r\n"), 3),
            FloodKind::Valid => query(CLASS, &id, "", 3),
            FloodKind::SameId => query(CLASS, "same", "", 3),
            FloodKind::EmptyLines => b"\r\n".to_vec(),
            FloodKind::ManyFields => many_fields(),
            FloodKind::ByteChunks => byte_chunks(&id),
            FloodKind::SlowBodies | FloodKind::HalfRequests => {
                let total = LARGE_BODY_BYTES + 1000;
                let mut bytes = format!("POST /api HTTP/1.1\r\nContent-Length: {total}\r\n\r\n").into_bytes();
                bytes.resize(bytes.len() + LARGE_BODY_BYTES, b'x');
                bytes
            }
            FloodKind::EndlessHeads => ["GET / HTTP/1.1\r\n", &"a:b\r\n".repeat(60)].concat().into_bytes(),
            FloodKind::LargeQueries | FloodKind::UnreadValues => large_query(&id),
            FloodKind::Nothing => Vec::new(),
        }
    }

    /// Returns how many requests are written at once.
    pub fn requests_per_write(self) -> u64 {
        match self {
            FloodKind::ByteChunks | FloodKind::ManyFields => 20,
            FloodKind::LargeQueries | FloodKind::UnreadValues => 1,
            _ => 400,
        }
    }

    /// Returns whether a client of this kind reads what it is sent.
    pub fn reads(self) -> bool {
        !matches!(self, FloodKind::UnreadAnswers | FloodKind::UnreadValues)
    }

    /// Returns whether a flood of this kind consists of valid queries, which keep the data nodes busy.
    pub fn is_valid(self) -> bool {
        matches!(
            self,
            FloodKind::Valid
                | FloodKind::NewUsers
                | FloodKind::SameId
                | FloodKind::LargeQueries
                | FloodKind::UnreadValues
        )
    }

    /// Returns whether a client of this kind holds many connections on which it sends little.
    pub fn is_slow(self) -> bool {
        matches!(self, FloodKind::SlowBodies | FloodKind::HalfRequests | FloodKind::EndlessHeads)
    }
}

/// Formats a query for one shard.
pub fn query(class: &str, id: &str, fields: &str, shard: u64) -> Vec<u8> {
    let tenant =
        if fields.contains("X-Customer") { String::new() } else { format!("X-Customer: {TENANT}\r\n") };
    timed_query(class, id, &format!("{tenant}{fields}"), shard, DEADLINE_MS)
}

/// Formats a query for one shard with this deadline.
pub fn timed_query(class: &str, id: &str, fields: &str, shard: u64, deadline_ms: u32) -> Vec<u8> {
    let body = body(shard);
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\n{fields}X-Expires-In-Ms: {deadline_ms}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn body(shard: u64) -> String {
    format!(r#"{{"segments":[{{"segment":{shard},"boost":1}}],"text":"q"}}"#)
}

/// Formats a query with a text of [`LARGE_BODY_BYTES`]; its answer has the same size.
fn large_query(id: &str) -> Vec<u8> {
    let text = "q".repeat(LARGE_BODY_BYTES);
    let body = format!(r#"{{"segments":[{{"segment":3,"boost":1}}],"text":"{text}"}}"#);
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {CLASS}\r\nX-Trace-Id: {id}\r\nX-Customer: {TENANT}\r\n\
         X-Expires-In-Ms: {DEADLINE_MS}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn many_fields() -> Vec<u8> {
    let mut text = String::from("POST /api HTTP/1.1\r\n");
    for field in 0..58 {
        let _ = write!(text, "f{field}:b\r\n");
    }
    text.push_str("Content-Length: 0\r\n\r\n");
    text.into_bytes()
}

fn byte_chunks(id: &str) -> Vec<u8> {
    let body = format!(r#"{{"segments":[{{"segment":3,"boost":1}}],"text":"{}"}}"#, "q".repeat(1000));
    let mut text = format!(
        "POST /api HTTP/1.1\r\nX-Qos: unknown\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {DEADLINE_MS}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    for byte in body.chars() {
        let _ = write!(text, "1\r\n{byte}\r\n");
    }
    text.push_str("0\r\n\r\n");
    text.into_bytes()
}
