//! HTTP/1.1 heads and bodies: requests of clients and answers of discovery, parsed where they lie.

#[cfg(test)]
mod tests;

use std::borrow::Cow;

/// The protocol's limit on a body, and ours on a head and on its fields.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// As many bytes as a request may take, its body in small chunks included.
pub const MAX_REQUEST_BYTES: usize = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
const MAX_HEADERS: usize = 64;

/// What is wrong with a request: a status and one plain line.
pub type Bad = (u16, &'static str);

/// A request whose last byte is in. Fields that were not sent are empty.
#[derive(Debug, Default)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub body: Cow<'a, [u8]>,
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub deadline: &'a str,
    pub again: bool,
    /// The client will not use the connection again.
    pub last: bool,
    /// How many bytes it took.
    pub length: usize,
}

/// How a body's end is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length(usize),
    Chunks,
    /// It ends with the connection.
    Open,
}

/// Where in a body in chunks its reader stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Head,
    /// So much of a chunk's data is still to come.
    Data(u64),
    End,
}

/// Reads a body in chunks, each as far as it has come.
#[derive(Debug)]
pub struct Chunks {
    most: usize,
    at: At,
}

impl Chunks {
    /// A chunk of over `most` bytes is refused at its first word.
    pub fn new(most: usize) -> Chunks {
        Chunks { most, at: At::Head }
    }

    /// Hands on what data stands in `bytes`; how many of them were taken, and whether the body is over.
    pub fn read(&mut self, bytes: &[u8], to: &mut dyn FnMut(&[u8])) -> Result<(usize, bool), Bad> {
        const WRONG: Bad = (400, "the body's chunks are malformed");
        let mut taken = 0;
        loop {
            let rest = &bytes[taken..];
            match self.at {
                At::Head => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((head, 0))) => {
                        // Trailers are read and disregarded.
                        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
                        return match httparse::parse_headers(&rest[head..], &mut fields) {
                            Ok(httparse::Status::Complete((trailers, _))) => {
                                Ok((taken + head + trailers, true))
                            }
                            Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD_BYTES => {
                                Ok((taken, false))
                            }
                            _ => Err(WRONG),
                        };
                    }
                    Ok(httparse::Status::Complete((_, size))) if size > self.most as u64 => {
                        return Err((413, "a chunk is too long"));
                    }
                    Ok(httparse::Status::Complete((head, size))) => {
                        taken += head;
                        self.at = At::Data(size);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD_BYTES => {
                        return Ok((taken, false));
                    }
                    _ => return Err(WRONG),
                },
                At::Data(0) => self.at = At::End,
                At::Data(_) if rest.is_empty() => return Ok((taken, false)),
                At::Data(left) => {
                    let data = &rest[..rest.len().min(left as usize)];
                    to(data);
                    taken += data.len();
                    self.at = At::Data(left - data.len() as u64);
                }
                At::End => match rest.get(..2) {
                    None => return Ok((taken, false)),
                    Some(b"\r\n") => (taken, self.at) = (taken + 2, At::Head),
                    Some(_) => return Err(WRONG),
                },
            }
        }
    }
}

/// How the body behind these fields is framed; without any word of it, `otherwise`.
fn framing(fields: &[httparse::Header], otherwise: Framing) -> Result<Framing, Bad> {
    let mut found = None;
    for field in fields {
        let next = if field.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(field.value).unwrap_or("").trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = digits.then(|| text.parse().unwrap_or(usize::MAX));
            Framing::Length(length.ok_or((400, "Content-Length is not a whole number"))?)
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            if !field.value.eq_ignore_ascii_case(b"chunked") {
                return Err((501, "only the transfer encoding 'chunked' is known"));
            }
            Framing::Chunks
        } else {
            continue;
        };
        if found.is_some() {
            return Err((400, "the body's length is stated twice"));
        }
        found = Some(next);
    }
    Ok(found.unwrap_or(otherwise))
}

fn has_word(value: &[u8], word: &str) -> bool {
    let text = std::str::from_utf8(value).unwrap_or("");
    text.split(',').any(|part| part.trim().eq_ignore_ascii_case(word))
}

/// Whether a head is in whose sender waits for a word before it sends the body.
pub fn waits(bytes: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let whole = matches!(head.parse(bytes), Ok(httparse::Status::Complete(length)) if length == bytes.len());
    whole
        && head
            .headers
            .iter()
            .any(|f| f.name.eq_ignore_ascii_case("expect") && has_word(f.value, "100-continue"))
}

/// The request at the start of `bytes`, once it is whole.
pub fn request(bytes: &[u8]) -> Result<Option<Request<'_>>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, "the head is too large")),
        Err(_) => return Err((400, "the head is malformed")),
    };
    let mut request = Request {
        method: head.method.unwrap_or(""),
        path: head.path.unwrap_or(""),
        last: head.version == Some(0),
        ..Default::default()
    };
    for field in head.headers.iter() {
        let text = std::str::from_utf8(field.value).unwrap_or("").trim();
        match field.name {
            name if name.eq_ignore_ascii_case("x-trace-id") => request.id = text,
            name if name.eq_ignore_ascii_case("x-qos") => request.class = text,
            name if name.eq_ignore_ascii_case("x-customer") => request.tenant = text,
            name if name.eq_ignore_ascii_case("x-expires-in-ms") => request.deadline = text,
            name if name.eq_ignore_ascii_case("x-second-try") => request.again = text == "1",
            name if name.eq_ignore_ascii_case("connection") => {
                request.last =
                    has_word(field.value, "close") || request.last && !has_word(field.value, "keep-alive");
            }
            _ => {}
        }
    }
    match framing(head.headers, Framing::Length(0))? {
        Framing::Chunks => {
            let mut body = Vec::new();
            let mut chunks = Chunks::new(MAX_BODY_BYTES);
            let (taken, over) = chunks.read(&bytes[start..], &mut |data| body.extend_from_slice(data))?;
            if body.len() > MAX_BODY_BYTES || !over && bytes.len() >= MAX_REQUEST_BYTES {
                return Err((413, "the body is over 64 KiB"));
            }
            if !over {
                return Ok(None);
            }
            (request.body, request.length) = (Cow::Owned(body), start + taken);
            Ok(Some(request))
        }
        Framing::Length(length) if length <= MAX_BODY_BYTES => {
            let Some(body) = bytes.get(start..start + length) else { return Ok(None) };
            (request.body, request.length) = (Cow::Borrowed(body), start + length);
            Ok(Some(request))
        }
        _ => Err((413, "the body is over 64 KiB")),
    }
}

/// The head of an answer at the start of `bytes`, once it is whole: status, length and the body's framing.
pub fn response(bytes: &[u8]) -> Result<Option<(u16, usize, Framing)>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut fields);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            Ok(Some((head.code.unwrap_or(0), length, framing(head.headers, Framing::Open)?)))
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err((400, "the head is malformed")),
    }
}

/// The head of our answer; `advice` is when to come back, in seconds.
pub fn head(status: u16, kind: &str, length: usize, advice: Option<f64>, last: bool) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Bad Gateway",
    };
    let advice = advice.map_or(String::new(), |s| format!("Retry-After: {s:.3}\r\n"));
    let last = if last { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n{advice}{last}\r\n"
    )
}
