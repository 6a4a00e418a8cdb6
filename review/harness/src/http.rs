//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Header lines of a message.
pub type Headers = Vec<(String, String)>;

/// Reads a line; `None` when the connection is closed.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Some(headers);
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Value of the first header with a lowercase name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

/// Reads chunks up to the last one; `None` if the body is cut off. Calls `each` with every chunk.
fn read_chunks(reader: &mut impl BufRead, mut each: impl FnMut(&[u8])) -> Option<()> {
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        each(&chunk[..length]);
    }
}

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&');
        pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// A query parameter as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Reads a request; `None` when the connection is closed.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let line = read_line(reader)?;
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let headers = read_headers(reader)?;
        let mut body = Vec::new();
        if header(&headers, "transfer-encoding").is_some() {
            read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
        } else {
            let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
            body.resize(length.unwrap_or(0), 0);
            reader.read_exact(&mut body).ok()?;
        }
        Some(Self {
            method,
            target,
            headers,
            body,
        })
    }
}

/// Formats an answer with a length; `extra` holds complete header lines.
pub fn answer(status: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Whether the peer has closed the connection; only for a peer that sends nothing meanwhile.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let restored = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
        || restored.is_err()
        || peeked.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}

/// Head of an answer that a client received.
#[derive(Clone, Debug)]
pub struct Head {
    pub status: u16,
    pub headers: Headers,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// An answer that a client received, without its body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    /// Whether the body arrived in full.
    pub is_complete: bool,
}

/// Connection of a client.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, read_timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Makes the receive window small, as on the platform's links.
    pub fn narrow(&self) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        let size: i32 = 32 * 1_024;
        let socket = self.reader.get_ref().as_raw_fd();
        // SAFETY: the socket is open, and `size` outlives the call.
        let status = unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &raw const size, 4) };
        assert_eq!(status, 0, "the receive window is set");
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Reads the head of an answer; `None` when the connection ends first.
    pub fn read_head(&mut self) -> Option<Head> {
        let line = read_line(&mut self.reader)?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let headers = read_headers(&mut self.reader)?;
        Some(Head { status, headers })
    }

    /// Reads the body of an answer, and calls `each` with its pieces as they come. Returns whether it
    /// arrived in full.
    pub fn read_body(&mut self, head: &Head, mut each: impl FnMut(&[u8])) -> bool {
        if head.header("transfer-encoding").is_some() {
            return read_chunks(&mut self.reader, each).is_some();
        }
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let Some(mut left): Option<usize> = length else {
            let mut rest = Vec::new();
            let is_read = self.reader.read_to_end(&mut rest).is_ok();
            each(&rest);
            return is_read;
        };
        let mut buffer = vec![0; 64 * 1_024];
        while left > 0 {
            let wanted = left.min(buffer.len());
            let Ok(read) = self.reader.read(&mut buffer[..wanted]) else {
                return false;
            };
            if read == 0 {
                return false;
            }
            each(&buffer[..read]);
            left -= read;
        }
        true
    }

    /// Reads an answer; `None` when the connection ends before its head is complete.
    pub fn read(&mut self) -> Option<Answer> {
        let head = self.read_head()?;
        let is_complete = self.read_body(&head, |_| {});
        Some(Answer { head, is_complete })
    }
}
