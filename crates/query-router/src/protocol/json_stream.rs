//! A run of JSON objects as a watch sends them: one behind the other, on one line each or indented over many.

#[cfg(test)]
mod tests;

/// The longest object or list that is read; some thousands of indented entries.
pub const MAX_ENDPOINT_LIST_BYTES: usize = 2 * 1024 * 1024;

/// What stands at the front of the bytes held.
#[derive(Debug, PartialEq)]
pub enum JsonStreamItem {
    Incomplete,
    /// A line ended between objects.
    BlankLine,
    Object(Vec<u8>),
}

/// Each byte is looked at once, however small the pieces are that it comes in.
#[derive(Debug, Default)]
pub struct JsonStream {
    held: Vec<u8>,
    seen: usize,
    depth: usize,
    text: bool,
    escaped: bool,
}

impl JsonStream {
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Whether an object has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.depth > 0
    }

    pub fn next(&mut self) -> Result<JsonStreamItem, &'static str> {
        while let Some(&byte) = self.held.get(self.seen) {
            self.seen += 1;
            if self.depth == 0 {
                match byte {
                    b'\n' => return Ok(JsonStreamItem::BlankLine),
                    b' ' | b'\t' | b'\r' => {}
                    b'{' => {
                        self.held.drain(..self.seen - 1);
                        (self.seen, self.depth) = (1, 1);
                    }
                    _ => return Err("what comes is no object"),
                }
            } else if self.text {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.text = false,
                    // Guards against an object that was cut off and swallows all that follows.
                    b'\n' => return Err("a text is cut off"),
                    _ => {}
                }
            } else {
                match byte {
                    b'"' => self.text = true,
                    b'{' | b'[' => self.depth += 1,
                    b'}' | b']' => self.depth -= 1,
                    _ => {}
                }
                if self.depth == 0 {
                    let rest = self.held.split_off(self.seen);
                    self.seen = 0;
                    return Ok(JsonStreamItem::Object(std::mem::replace(&mut self.held, rest)));
                }
            }
            if self.seen > MAX_ENDPOINT_LIST_BYTES {
                return Err("an object is too long");
            }
        }
        if self.depth == 0 {
            (self.held, self.seen) = (Vec::new(), 0);
        }
        Ok(JsonStreamItem::Incomplete)
    }
}
