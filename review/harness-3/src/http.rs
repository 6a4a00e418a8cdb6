//! The little of HTTP/1.1 that the stand-ins speak.

use std::io::{BufRead, Read};

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` when the connection is closed.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let start = line(reader)?;
        let mut headers = Vec::new();
        loop {
            let line = line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                return Some(Self { start, headers });
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Reads a body with a length.
    pub fn body(&self, reader: &mut impl Read) -> Option<Vec<u8>> {
        let length = self.header("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(body)
    }
}

/// Reads a line without its end; `None` when the connection is closed.
pub fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    let length = reader.read_until(b'\n', &mut line).ok()?;
    if length == 0 || line.last() != Some(&b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// An answer with a body and further header lines, each with its end.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}
