//! Server-sent events: a bounded incremental decoder and an encoder.

/// Limit on the bytes that [`Decoder`] buffers, and so on the length of an event.
pub const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// The bytes to buffer exceed [`EVENT_LIMIT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("event is longer than {EVENT_LIMIT_BYTES} bytes")]
pub struct TooLong;

/// Incremental decoder that yields the data of each event in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Index in `buffer` of the current line's start.
    start: usize,
    /// Index in `buffer` up to which line ends were searched for, so that no byte is scanned twice.
    scanned: usize,
    /// Index in `buffer` of the current line's end, if it is a complete data line.
    end: Option<usize>,
}

impl Decoder {
    const FIELD: &[u8] = b"data:";

    /// Appends received bytes to the buffer and drops the bytes of events already returned.
    ///
    /// # Errors
    /// Fails when the buffer would exceed [`EVENT_LIMIT_BYTES`].
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.drain(..self.start);
        self.scanned -= self.start;
        self.end = self.end.map(|end| end - self.start);
        self.start = 0;
        if self.buffer.len() + bytes.len() > EVENT_LIMIT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Whether a complete `data:` line is buffered; skips comments and other fields.
    pub fn has_data(&mut self) -> bool {
        while self.end.is_none() {
            let unscanned = &self.buffer[self.scanned..];
            let Some(length) = unscanned.iter().position(|byte| *byte == b'\n') else {
                self.scanned = self.buffer.len();
                return false;
            };
            let end = self.scanned + length;
            self.scanned = end + 1;
            if self.buffer[self.start..end].starts_with(Self::FIELD) {
                self.end = Some(end);
            } else {
                self.start = end + 1;
            }
        }
        true
    }

    /// Returns the data of the next complete `data:` line without surrounding white space.
    pub fn next_data(&mut self) -> Option<&[u8]> {
        if !self.has_data() {
            return None;
        }
        let end = self.end.take()?;
        let data = &self.buffer[self.start + Self::FIELD.len()..end];
        self.start = end + 1;
        Some(data.trim_ascii())
    }
}

/// Appends an event with a single line of data to `output`.
pub fn encode(data: &str, output: &mut String) {
    output.push_str("data: ");
    output.push_str(data);
    output.push_str("\n\n");
}
