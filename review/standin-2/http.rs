//! Reading and writing of HTTP/1.1 messages, as far as the stand-ins need it.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A received request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    /// Values by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body has the length or the last chunk that its head announced.
    pub whole: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message, or returns `None` if the connection ended before its head was complete.
///
/// A body without length and chunks is read to the end of the connection if `is_response` is set.
pub fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut message = Message::default();
    let line = read_line(reader)?;
    message.start = line;
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let name = name.trim().to_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
    if message.header("transfer-encoding") == Some("chunked") {
        message.whole = read_chunks(reader, &mut message.body);
    } else if let Some(length) = message.header("content-length") {
        let length: u64 = length.parse().ok()?;
        let got = reader.take(length).read_to_end(&mut message.body);
        message.whole = got.is_ok_and(|n| n as u64 == length);
    } else if is_response {
        message.whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.whole = true;
    }
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes).ok().filter(|n| *n > 0)?;
    Some(String::from_utf8_lossy(&bytes).trim_end().to_owned())
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = read_line(reader) else {
            return false;
        };
        let Ok(length) = u64::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let got = reader.take(length).read_to_end(body);
        if !got.is_ok_and(|n| n as u64 == length) || read_line(reader).is_none() {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

/// Sends a request on a new connection and returns the response as far as it arrived within `timeout` for each read.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut bytes = format!("{head}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let message = read(&mut BufReader::new(stream), true);
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Writes a response with a length.
pub fn respond(out: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    write!(out, "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}
