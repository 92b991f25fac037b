//! What is known of a request that was received in part, so that each further piece costs no more than its own bytes.

use super::chunked::ChunkedDecoder;
use super::error::HttpError;
use super::framing::BodyFraming;
use super::limits::{MAX_BODY_BYTES, MAX_HEADERS, MAX_REQUEST_BYTES};
use super::request::{Request, parse_request};
use httparse::Status;

/// How far a request was parsed.
#[derive(Debug, Default)]
enum Parsed {
    /// The head is incomplete.
    #[default]
    Nothing,
    /// The head is complete and states the length of the body; the request has this many bytes.
    Head { request_bytes: usize },
    /// The body is chunked, and its first bytes were decoded.
    Chunks {
        decoder: ChunkedDecoder,
        /// The number of bytes of the request that were decoded.
        decoded: usize,
        /// The number of bytes of the body in them.
        body_bytes: usize,
    },
}

/// The progress of parsing a request that arrives in pieces.
#[derive(Debug, Default)]
pub struct RequestProgress {
    parsed: Parsed,
}

impl RequestProgress {
    /// Parses the request at the start of `bytes`, which begin with those of the last call. Returns `None` if it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if the request is malformed, unsupported or exceeds a limit.
    pub fn parse<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<Request<'a>>, HttpError> {
        if self.is_known_to_be_incomplete(bytes)? {
            return Ok(None);
        }
        let request = parse_request(bytes);
        self.parsed = match request {
            Ok(None) => parsed_head(bytes),
            _ => Parsed::Nothing,
        };
        request
    }

    /// Returns whether the head of the request is complete.
    pub fn has_head(&self) -> bool {
        !matches!(self.parsed, Parsed::Nothing)
    }

    fn is_known_to_be_incomplete(&mut self, bytes: &[u8]) -> Result<bool, HttpError> {
        match &mut self.parsed {
            Parsed::Nothing => Ok(false),
            Parsed::Head { request_bytes } => Ok(bytes.len() < *request_bytes),
            Parsed::Chunks { decoder, decoded, body_bytes } => {
                let progress = decoder.decode(&bytes[*decoded..], &mut |data| *body_bytes += data.len())?;
                *decoded += progress.consumed;
                let is_too_large = *body_bytes > MAX_BODY_BYTES || bytes.len() >= MAX_REQUEST_BYTES;
                Ok(!progress.complete && !is_too_large)
            }
        }
    }
}

/// Returns what the head of an incomplete request tells of its end.
fn parsed_head(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Ok(Status::Complete(head_bytes)) = head.parse(bytes) else { return Parsed::Nothing };
    match BodyFraming::from_headers(head.headers, BodyFraming::Length(0)) {
        Ok(BodyFraming::Length(length)) => Parsed::Head { request_bytes: head_bytes + length },
        Ok(BodyFraming::Chunked) => {
            let decoder = ChunkedDecoder::new(MAX_BODY_BYTES);
            Parsed::Chunks { decoder, decoded: head_bytes, body_bytes: 0 }
        }
        Ok(BodyFraming::UntilClose) | Err(_) => Parsed::Nothing,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the outcome of parsing ever more bytes of `text`: whether each prefix is complete, or the first error.
    fn outcomes(text: &[u8]) -> Vec<Result<bool, HttpError>> {
        let mut progress = RequestProgress::default();
        let mut outcomes = Vec::new();
        for end in 1..=text.len() {
            let outcome = progress.parse(&text[..end]).map(|request| request.is_some());
            let is_final = outcome != Ok(false);
            outcomes.push(outcome);
            if is_final {
                break;
            }
        }
        outcomes
    }

    fn outcomes_without_progress(text: &[u8]) -> Vec<Result<bool, HttpError>> {
        let all = (1..=text.len()).map(|end| parse_request(&text[..end]).map(|request| request.is_some()));
        let mut is_final = false;
        all.take_while(|outcome| !std::mem::replace(&mut is_final, *outcome != Ok(false))).collect()
    }

    #[test]
    fn pieces_give_the_same_outcome_as_the_whole() {
        for text in [
            "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\n\r\n",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
            "NONSENSE\r\n\r\n",
        ] {
            assert_eq!(outcomes(text.as_bytes()), outcomes_without_progress(text.as_bytes()), "{text}");
        }
    }

    #[test]
    fn a_body_of_many_chunks_is_limited() {
        let head = "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = [head, &"1\r\nx\r\n".repeat(40_000)].concat();
        let mut progress = RequestProgress::default();
        let mut pieces = (1..=text.len() / 1000).map(|piece| &text.as_bytes()[..piece * 1000]);
        let error = pieces.find_map(|bytes| progress.parse(bytes).err());
        assert_eq!(error, Some(HttpError::BodyTooLarge));
    }
}
