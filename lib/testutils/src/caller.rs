//! A blocking HTTP client over a plain socket, which sees every byte and can disconnect at any
//! time.

use std::io;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

/// Timeout of each read from the gateway.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Header names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Reply {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(n, _)| n == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the result code of an error body, or 0 if there is none.
    pub fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or(0)
    }

    /// Returns the `execution` field of an error body, or an empty text if there is none.
    pub fn execution(&self) -> String {
        let value = self.json()["error"]["execution"].clone();
        value.as_str().unwrap_or_default().to_owned()
    }

    /// Returns the data of all server-sent events.
    pub fn events(&self) -> Vec<&str> {
        let lines = self.body.lines();
        lines.filter_map(|l| l.strip_prefix("data: ")).collect()
    }

    /// Returns the text of a chat stream, joined from all its events.
    pub fn stream_text(&self) -> String {
        self.events().into_iter().map(event_text).collect()
    }
}

/// Returns the text of one event of a chat stream.
pub fn event_text(data: &str) -> String {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    let text = &chunk["choices"][0]["delta"]["content"];
    text.as_str().unwrap_or_default().to_owned()
}

/// A connection to a gateway.
pub struct Caller {
    reader: BufReader<TcpStream>,
    chunked: bool,
    content_length: Option<usize>,
    chunk: usize,
}

impl Caller {
    /// Connects to a gateway.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
            chunked: false,
            content_length: None,
            chunk: 0,
        })
    }

    /// Sends raw bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: gateway\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        self.write(head.as_bytes())
    }

    /// Reads the status line and headers of a response; the body of the reply is empty.
    pub fn read_head(&mut self) -> io::Result<Reply> {
        let line = self.read_line()?;
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("{line:?}")))?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let reply = Reply {
            status,
            headers,
            body: String::new(),
        };
        self.chunked = reply.header("transfer-encoding") == Some("chunked");
        self.content_length = reply.header("content-length").and_then(|n| n.parse().ok());
        self.chunk = 0;
        Ok(reply)
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Reads the next chunk of the body, or the whole body if it is not chunked; returns `None` at
    /// its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        if !self.chunked {
            let Some(content_length) = self.content_length.take() else {
                return Ok(None);
            };
            let mut body = vec![0; content_length];
            self.reader.read_exact(&mut body)?;
            return Ok(Some(body));
        }
        let line = self.read_line()?;
        let size = usize::from_str_radix(&line, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, line))?;
        let mut chunk = vec![0; size];
        self.reader.read_exact(&mut chunk)?;
        self.read_line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the rest of the body; fails if the connection ends before the body does.
    pub fn read_body(&mut self) -> io::Result<String> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.read_chunk()? {
            bytes.extend(chunk);
        }
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Reads a complete response.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let mut reply = self.read_head()?;
        reply.body = self.read_body()?;
        Ok(reply)
    }
}

/// Sends a request on a new connection and returns the complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Reply> {
    let mut caller = Caller::connect(address)?;
    caller.send(method, path, headers, body)?;
    caller.read_reply()
}
