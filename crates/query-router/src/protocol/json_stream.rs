//! Parser of the concatenated JSON objects that a discovery watch sends, each on a single line or pretty-printed over
//! several lines.

#[cfg(test)]
mod tests;

/// Maximum size of an endpoint list in bytes: enough for several thousand pretty-printed entries.
pub const MAX_ENDPOINT_LIST_BYTES: usize = 2 * 1024 * 1024;

/// Nesting depth within an element of an array at the top level of an object.
const ELEMENT_DEPTH: usize = 3;

/// The next item in the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum JsonStreamItem {
    /// The received bytes contain no further complete item.
    Incomplete,
    /// A line feed outside an object.
    BlankLine,
    /// The bytes of a complete object.
    Object(Vec<u8>),
}

/// The stream is malformed; parsing cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// The stream contains something other than an object or white space.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A string contains an unescaped line feed.
    #[error("a string is not closed on its line")]
    UnterminatedString,
    /// An object is longer than [`MAX_ENDPOINT_LIST_BYTES`].
    #[error("a JSON object exceeds {MAX_ENDPOINT_LIST_BYTES} bytes")]
    ObjectTooLong,
}

/// The lexical state of the scanner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Outside any object.
    #[default]
    Between,
    /// Inside `depth` nested objects and arrays.
    Inside { depth: usize },
    /// Inside a string within `depth` nested objects and arrays.
    InString { depth: usize },
    /// After a backslash in such a string.
    InEscape { depth: usize },
}

/// Splits a stream into objects. Each byte is scanned only once, however the stream is split into reads.
#[derive(Debug, Default)]
pub struct JsonStream {
    buffer: Vec<u8>,
    /// Number of scanned bytes at the start of the buffer.
    scanned: usize,
    state: ScanState,
    /// Number of bytes of the incomplete object up to the end of its last complete element: an object in an array of the
    /// object. 0 if there is none.
    last_element_end: usize,
}

impl JsonStream {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the scanned bytes end within an object.
    pub fn is_inside_object(&self) -> bool {
        self.state != ScanState::Between
    }

    /// Returns the number of bytes of the incomplete object up to the end of its last complete element; 0 if it has none.
    pub fn partial_object_length(&self) -> usize {
        if self.is_inside_object() { self.last_element_end } else { 0 }
    }

    /// Returns the incomplete object up to its last complete element, closed so that it is valid JSON if that element is
    /// in an array at its top level. `None` if there is no such element.
    pub fn partial_object(&self) -> Option<Vec<u8>> {
        match self.partial_object_length() {
            0 => None,
            length => Some([&self.buffer[..length], b"]}"].concat()),
        }
    }

    /// Scans up to the end of the next object or blank line.
    ///
    /// # Errors
    ///
    /// Returns a [`JsonStreamError`] if the bytes are not a stream of objects.
    pub fn next_item(&mut self) -> Result<JsonStreamItem, JsonStreamError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            let item = match self.state {
                ScanState::Between => self.scan_between(byte)?,
                ScanState::Inside { depth } => self.scan_inside(byte, depth),
                ScanState::InString { depth } => {
                    self.state = scan_string(byte, depth)?;
                    None
                }
                ScanState::InEscape { depth } => {
                    self.state = ScanState::InString { depth };
                    None
                }
            };
            if let Some(item) = item {
                return Ok(item);
            }
            if self.scanned > MAX_ENDPOINT_LIST_BYTES {
                return Err(JsonStreamError::ObjectTooLong);
            }
        }
        if !self.is_inside_object() {
            self.buffer = Vec::new();
            self.scanned = 0;
        }
        Ok(JsonStreamItem::Incomplete)
    }

    /// Scans a byte outside any object.
    fn scan_between(&mut self, byte: u8) -> Result<Option<JsonStreamItem>, JsonStreamError> {
        match byte {
            b'\n' => Ok(Some(JsonStreamItem::BlankLine)),
            b' ' | b'\t' | b'\r' => Ok(None),
            b'{' => {
                self.buffer.drain(..self.scanned - 1);
                self.scanned = 1;
                self.last_element_end = 0;
                self.state = ScanState::Inside { depth: 1 };
                Ok(None)
            }
            _ => Err(JsonStreamError::NotAnObject),
        }
    }

    /// Scans a byte of an object that is not part of a string. Returns the object if the byte ends it.
    fn scan_inside(&mut self, byte: u8, depth: usize) -> Option<JsonStreamItem> {
        self.state = match byte {
            b'"' => ScanState::InString { depth },
            b'{' | b'[' => ScanState::Inside { depth: depth + 1 },
            b'}' | b']' if depth == 1 => ScanState::Between,
            b'}' | b']' => ScanState::Inside { depth: depth - 1 },
            _ => return None,
        };
        if byte == b'}' && depth == ELEMENT_DEPTH {
            self.last_element_end = self.scanned;
        }
        (self.state == ScanState::Between).then(|| self.take_object())
    }

    /// Removes and returns the scanned bytes, which are one complete object.
    fn take_object(&mut self) -> JsonStreamItem {
        let rest = self.buffer.split_off(self.scanned);
        self.scanned = 0;
        JsonStreamItem::Object(std::mem::replace(&mut self.buffer, rest))
    }
}

/// Returns the state after a byte of a string. Rejects a line feed in a string: in a truncated object, the string would
/// otherwise extend over the objects that follow.
fn scan_string(byte: u8, depth: usize) -> Result<ScanState, JsonStreamError> {
    match byte {
        b'\\' => Ok(ScanState::InEscape { depth }),
        b'"' => Ok(ScanState::Inside { depth }),
        b'\n' => Err(JsonStreamError::UnterminatedString),
        _ => Ok(ScanState::InString { depth }),
    }
}
