//! HTTP/1.1 messages over blocking sockets.

use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body has the length or the last chunk that its head announced.
    pub whole: bool,
}

impl Message {
    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a message; returns `None` if the connection ended or was silent before the head was complete.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    reader
        .read_line(&mut message.start)
        .ok()
        .filter(|n| *n > 0)?;
    message.start.truncate(message.start.trim_end().len());
    loop {
        let mut line = Vec::new();
        reader
            .read_until(b'\n', &mut line)
            .ok()
            .filter(|n| *n > 0)?;
        let line = String::from_utf8_lossy(&line).into_owned();
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let header = (name.to_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    if message.header("transfer-encoding") == Some("chunked") {
        message.whole = read_chunks(reader, &mut message.body);
    } else {
        let length = message.header("content-length");
        let length: u64 = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let read = reader.take(length).read_to_end(&mut message.body);
        message.whole = read.is_ok_and(|n| n as u64 == length);
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            return false;
        }
        let Ok(length) = u64::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let chunk = reader.take(length).read_to_end(body);
        let mut end = String::new();
        if !chunk.is_ok_and(|n| n as u64 == length)
            || !reader.read_line(&mut end).is_ok_and(|n| n > 0)
        {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection within a second, and waits for at most `limit` for each read.
    pub fn open(address: SocketAddr, limit: Duration) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        let stream = stream.map_err(|error| format!("no connection: {error}"))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        stream
            .set_read_timeout(Some(limit))
            .map_err(|e| e.to_string())?;
        let reader = stream.try_clone().map_err(|e| e.to_string())?;
        Ok(Self {
            stream,
            reader: BufReader::new(reader),
        })
    }

    /// Sends a request and reads the response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Message, String> {
        self.send(&request(method, path, headers, body))?;
        self.answer()
    }

    /// Waits for at most `limit` for each read from now on.
    pub fn set_limit(&self, limit: Duration) -> Result<(), String> {
        let set = self.stream.set_read_timeout(Some(limit));
        set.map_err(|error| error.to_string())
    }

    /// Sends a part of a request.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), String> {
        let sent = self.stream.write_all(bytes);
        sent.map_err(|error| format!("not sent: {error}"))
    }

    /// Reads a response.
    pub fn answer(&mut self) -> Result<Message, String> {
        read(&mut self.reader).ok_or_else(|| "no answer".to_owned())
    }
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes a call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    Connection::open(address, limit)?.call(method, path, headers, body)
}
