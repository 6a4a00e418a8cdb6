//! Server-sent events: a bounded incremental decoder and an encoder.

/// Longest event in bytes.
pub const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// An event is longer than [`EVENT_LIMIT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("event is longer than {EVENT_LIMIT_BYTES} bytes")]
pub struct TooLong;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Start of the line that is being looked at.
    start: usize,
    /// Bytes from here on were not searched for a line end.
    scanned: usize,
    /// End of the complete data line at `start`.
    end: Option<usize>,
}

impl Decoder {
    const FIELD: &[u8] = b"data:";

    /// Adds received bytes.
    ///
    /// # Errors
    /// Fails when an event grows over the limit.
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

    /// Whether a complete `data:` line is waiting; comments and other fields are passed over.
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

    /// Data of the next complete `data:` line.
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

/// Appends an event with one line of data.
pub fn encode(data: &str, output: &mut String) {
    output.push_str("data: ");
    output.push_str(data);
    output.push_str("\n\n");
}
