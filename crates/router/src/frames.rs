//! Frames between routers and data nodes: a four-byte length, a letter, and the rest.

use yewpier::Outcome;

/// The protocol's limit on a body, and room for the line before it.
const MOST: usize = 64 * 1024 + 1024;

/// What the first bytes of a connection hold.
#[derive(Debug, PartialEq)]
pub enum Read<'a> {
    More,
    /// A letter, its rest, and the bytes that the frame took.
    Frame(u8, &'a [u8], usize),
    Bad,
}

pub fn read(bytes: &[u8]) -> Read<'_> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Read::More };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MOST {
        return Read::Bad;
    }
    match rest.get(..length) {
        None => Read::More,
        Some(frame) => Read::Frame(frame[0], &frame[1..], 4 + length),
    }
}

/// The five bytes before a frame's rest, which is `length` long.
pub fn head(letter: u8, length: usize) -> [u8; 5] {
    let [a, b, c, d] = (length as u32 + 1).to_be_bytes();
    [a, b, c, d, letter]
}

/// The line before a part's text in a call; `wait` is in milliseconds.
pub fn part_line(id: &str, shard: usize, wait: i64, length: usize) -> String {
    format!("{id} {shard} d={wait} {length}\n")
}

/// A data node's word on a part: its id, how it ended, the load report and the value.
pub fn answer(rest: &[u8]) -> Option<(&str, Outcome, &str, &str)> {
    let text = std::str::from_utf8(rest).ok()?;
    let (line, value) = text.split_once('\n')?;
    let mut words = line.split(' ');
    let (id, end) = (words.next()?, words.next()?);
    let (_score, report) = (words.next()?, words.next()?);
    let outcome = match end {
        "OK" => Outcome::Ok,
        "ERROR" => Outcome::Error,
        "REJECTED" => Outcome::Full,
        _ => return None,
    };
    words.next().is_none().then_some((id, outcome, report, value))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_read_once_its_last_byte_is_in() {
        let rest = b"t.3 OK 17 inflight=7\nvalue\nwith a line";
        let bytes: Vec<u8> = head(b'Y', rest.len()).into_iter().chain(*rest).chain([0, 0]).collect();
        for end in 0..4 + 1 + rest.len() {
            assert_eq!(read(&bytes[..end]), Read::More, "{end} bytes");
        }
        assert_eq!(read(&bytes), Read::Frame(b'Y', rest, 5 + rest.len()));
        assert_eq!(answer(rest), Some(("t.3", Outcome::Ok, "inflight=7", "value\nwith a line")));
    }

    #[test]
    fn what_is_no_frame_or_no_answer_is_known() {
        assert_eq!(read(&[0, 0, 0, 0, 1]), Read::Bad);
        assert_eq!(read(&[0x10, 0, 0, 0]), Read::Bad);
        for rest in ["t.3 OK 17 -", "t.3 MAYBE 17 -\n", "t.3 OK 17\n", "t.3 OK 17 - more\n"] {
            assert_eq!(answer(rest.as_bytes()), None, "{rest}");
        }
        assert_eq!(answer(b"t.3 OK 1 -\n\xff"), None);
    }
}
