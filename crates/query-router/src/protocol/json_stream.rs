//! A stream of JSON objects as a watch sends them: one behind the other, each on one line or indented over
//! many.

#[cfg(test)]
mod tests;

/// The longest object or list that is read, in bytes; some thousands of indented entries.
pub const MAX_ENDPOINT_LIST_BYTES: usize = 2 * 1024 * 1024;

/// What was found next in the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum JsonStreamItem {
    /// Nothing is complete yet.
    Incomplete,
    /// A line ended between objects.
    BlankLine,
    /// The bytes of one object.
    Object(Vec<u8>),
}

/// Why a stream cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// Something other than an object begins.
    #[error("what comes is no object")]
    NotAnObject,
    /// A string is not closed on its line.
    #[error("a text is cut off")]
    UnterminatedString,
    /// An object is over [`MAX_ENDPOINT_LIST_BYTES`].
    #[error("an object is too long")]
    ObjectTooLong,
}

/// The state of the scanner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Between objects.
    #[default]
    Between,
    /// Inside `depth` nested objects and arrays.
    Inside { depth: usize },
    /// Inside a string within `depth` nested objects and arrays.
    InString { depth: usize },
    /// Behind a backslash in such a string.
    InEscape { depth: usize },
}

/// Splits a stream into objects. Each byte is scanned once, however small the pieces are in which the stream arrives.
#[derive(Debug, Default)]
pub struct JsonStream {
    buffer: Vec<u8>,
    /// How many bytes of the buffer were scanned.
    scanned: usize,
    state: ScanState,
}

impl JsonStream {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an object has begun and is not complete.
    pub fn is_inside_object(&self) -> bool {
        self.state != ScanState::Between
    }

    /// Scans on to the next object or line end.
    ///
    /// # Errors
    ///
    /// A [`JsonStreamError`] if the bytes are no stream of objects.
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

    /// Scans a byte between objects.
    fn scan_between(&mut self, byte: u8) -> Result<Option<JsonStreamItem>, JsonStreamError> {
        match byte {
            b'\n' => Ok(Some(JsonStreamItem::BlankLine)),
            b' ' | b'\t' | b'\r' => Ok(None),
            b'{' => {
                self.buffer.drain(..self.scanned - 1);
                self.scanned = 1;
                self.state = ScanState::Inside { depth: 1 };
                Ok(None)
            }
            _ => Err(JsonStreamError::NotAnObject),
        }
    }

    /// Scans a byte of an object outside its strings. Returns the object if it ends there.
    fn scan_inside(&mut self, byte: u8, depth: usize) -> Option<JsonStreamItem> {
        self.state = match byte {
            b'"' => ScanState::InString { depth },
            b'{' | b'[' => ScanState::Inside { depth: depth + 1 },
            b'}' | b']' if depth == 1 => ScanState::Between,
            b'}' | b']' => ScanState::Inside { depth: depth - 1 },
            _ => return None,
        };
        (self.state == ScanState::Between).then(|| self.take_object())
    }

    /// Removes the scanned bytes, which are one object.
    fn take_object(&mut self) -> JsonStreamItem {
        let rest = self.buffer.split_off(self.scanned);
        self.scanned = 0;
        JsonStreamItem::Object(std::mem::replace(&mut self.buffer, rest))
    }
}

/// The state after a byte of a string. Guards against a truncated object that swallows everything behind it: no string
/// extends beyond its line.
fn scan_string(byte: u8, depth: usize) -> Result<ScanState, JsonStreamError> {
    match byte {
        b'\\' => Ok(ScanState::InEscape { depth }),
        b'"' => Ok(ScanState::Inside { depth }),
        b'\n' => Err(JsonStreamError::UnterminatedString),
        _ => Ok(ScanState::InString { depth }),
    }
}
