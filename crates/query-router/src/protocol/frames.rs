//! Frames between routers and data nodes: a four-byte length, a letter, and the rest.

#[cfg(test)]
mod tests;

use balancer::AttemptOutcome;

/// The longest line before a value, and the longest frame: that and the protocol's limit on a body.
const MOST_LINE: usize = 1024;
const MOST: usize = 64 * 1024 + MOST_LINE;

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
    // Guards against waiting for the rest of what can never be used: an unknown letter, an endless line.
    let known = rest.first().is_none_or(|letter| b"YGTN".contains(letter));
    let begun = &rest[..rest.len().min(length)];
    if !known || begun.len() > MOST_LINE && begun[0] == b'Y' && !begun[..MOST_LINE].contains(&b'\n') {
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

/// A data node's word on a part: its id, how it ended, the load report and the value. The report is for the
/// reader to judge, since an answer is good without it. No value holds control characters: one that does
/// has swallowed part of another frame, whose length begins with a zero.
pub fn answer(rest: &[u8]) -> Option<(&str, AttemptOutcome, &[u8], &str)> {
    let (line, value) = rest.split_at(rest.iter().position(|&b| b == b'\n')?);
    let mut words = line.splitn(4, |&b| b == b' ');
    let id = std::str::from_utf8(words.next()?).ok()?;
    let outcome = match words.next()? {
        b"OK" => AttemptOutcome::Succeeded,
        b"ERROR" => AttemptOutcome::ServerError,
        b"REJECTED" => AttemptOutcome::Rejected,
        _ => return None,
    };
    let score: Option<f64> = std::str::from_utf8(words.next()?).ok()?.parse().ok();
    let value = std::str::from_utf8(&value[1..]).ok().filter(|value| !value.contains(char::is_control));
    score.and(Some((id, outcome, words.next()?, value?)))
}
