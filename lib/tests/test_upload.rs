//! Tests of answers that cross the call to which they belong (`docs/platform.md`, "When an answer is complete").

use std::future::Future;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fulmarford_lib::upstream::Answer;
use fulmarford_lib::upstream::Call;
use fulmarford_lib::upstream::Client;
use futures::StreamExt as _;
use futures::stream;
use googletest::prelude::*;
use http::HeaderMap;
use http::Method;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use socket2::SockRef;

/// Body of an answer, of which an endpoint that breaks off sends a part.
const TEXT: &str = "the whole of the answer";

/// Receive buffer of the endpoint in bytes, of which a call that is not read may fill a multiple.
const RECEIVE_BUFFER: usize = 16 << 10;

/// Smallest call that the endpoint cannot have received unless it reads.
const LARGE: usize = 256 << 10;

/// Largest body of the platform by default.
const MAX_BODY: usize = 4 << 20;

/// Bytes of a call that an endpoint reads before it answers early.
const READ_EARLY: usize = 4 << 10;

/// Time after which an endpoint reads on.
const READ_PAUSE: Duration = Duration::from_millis(600);

/// Time after which a call counts as unanswered.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Number of calls at the same time.
const CONCURRENCY: usize = 32;

/// When an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum When {
    /// After the request line.
    Head,
    /// After the first bytes of the body.
    Body,
    /// After the call.
    After,
}

/// How an endpoint marks the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    Length,
    Chunks,
    Close,
}

/// What an endpoint does after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Reads the rest of the call and closes the connection.
    Order,
    /// Resets the connection.
    Reset,
    /// Closes its sending side, and resets the connection later.
    HalfReset,
    /// Closes its sending side, and reads the rest of the call later.
    HalfRead,
    /// Sends and reads nothing.
    Silence,
    /// Reads the rest of the call and serves another one.
    Keep,
}

const WHENS: [When; 3] = [When::Head, When::Body, When::After];
const MARKS: [Mark; 3] = [Mark::Length, Mark::Chunks, Mark::Close];
const ENDS: [End; 6] = [
    End::Order,
    End::Reset,
    End::HalfReset,
    End::HalfRead,
    End::Silence,
    End::Keep,
];

/// What a client must make of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The answer is complete.
    Whole,
    /// The answer broke off or has no end.
    Broken,
    /// The answer is complete or broke off, depending on which of two events the client sees first.
    Either,
}

/// Returns what an answer is worth.
fn expected(when: When, mark: Mark, end: End, size: usize) -> Outcome {
    let is_early = when != When::After && size >= LARGE;
    match (mark, end) {
        (Mark::Close, End::Reset | End::Silence | End::Keep) => Outcome::Broken,
        // The client may learn of the end when the endpoint has read the rest.
        (Mark::Close, End::Order) if is_early => Outcome::Either,
        (Mark::Close, _) if is_early => Outcome::Broken,
        // The reset may be known at the same time as the end.
        (Mark::Close, End::HalfReset) => Outcome::Either,
        (Mark::Close, _) => Outcome::Whole,
        (_, End::Reset) => Outcome::Either,
        _ => Outcome::Whole,
    }
}

fn run<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts")
        .block_on(work)
}

/// Reads up to the end of `mark`, byte by byte.
fn read_to(stream: &mut TcpStream, mark: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(mark) {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    Ok(bytes)
}

/// Reads a number of bytes of a body and returns whether each of them belongs to it.
fn read_body(stream: &mut TcpStream, mut length: usize) -> io::Result<bool> {
    let mut buffer = vec![0; 64 << 10];
    let mut is_sound = true;
    while length > 0 {
        let room = length.min(buffer.len());
        let count = stream.read(&mut buffer[..room])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        is_sound &= buffer[..count].iter().all(|byte| *byte == b'b');
        length -= count;
    }
    Ok(is_sound)
}

fn find<T: Copy + std::fmt::Debug>(all: &[T], name: &str) -> Option<T> {
    all.iter().find(|one| format!("{one:?}") == name).copied()
}

/// Serves the calls of a connection as their paths say: `/WHEN/MARK/END/SIZE`, or `/whole`.
fn serve(stream: &mut TcpStream) -> io::Result<()> {
    loop {
        let line = read_to(stream, b"\r\n")?;
        let line = String::from_utf8_lossy(&line).into_owned();
        let path = line.split(' ').nth(1).unwrap_or_default();
        let words: Vec<&str> = path.split('/').skip(1).collect();
        let [when, mark, end, size] = words[..] else {
            read_to(stream, b"\r\n\r\n")?;
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
            continue;
        };
        let when = find(&WHENS, when).expect("a time");
        let end = find(&ENDS, end).expect("an end");
        let size: usize = size.parse().expect("a size");
        let mut unread = size;
        if when != When::Head {
            read_to(stream, b"\r\n\r\n")?;
            let read = match when {
                When::After => size,
                _ => size.min(READ_EARLY),
            };
            read_body(stream, read)?;
            unread -= read;
        }
        let head = "HTTP/1.1 200 OK\r\n";
        match find(&MARKS, mark).expect("a mark") {
            Mark::Length => write!(stream, "{head}content-length: {}\r\n\r\n{TEXT}", TEXT.len())?,
            Mark::Chunks => write!(
                stream,
                "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{TEXT}\r\n0\r\n\r\n",
                TEXT.len()
            )?,
            Mark::Close => write!(stream, "{head}\r\n{TEXT}")?,
        }
        stream.flush()?;
        match end {
            End::Reset => {
                // The bytes must arrive before the reset discards them.
                thread::sleep(Duration::from_millis(50));
                return SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            }
            End::HalfReset => {
                stream.shutdown(Shutdown::Write)?;
                thread::sleep(Duration::from_millis(50));
                return SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            }
            End::Silence => {
                thread::sleep(2 * TIMEOUT);
                return Ok(());
            }
            End::HalfRead => {
                stream.shutdown(Shutdown::Write)?;
                thread::sleep(READ_PAUSE);
            }
            End::Order | End::Keep => {}
        }
        if end == End::Order && when != When::After {
            // Only a side that has read everything can close in order.
            stream.shutdown(Shutdown::Write)?;
        }
        if when == When::Head {
            read_to(stream, b"\r\n\r\n")?;
        }
        assert!(read_body(stream, unread)?, "other bytes within a body");
        if end != End::Keep {
            return Ok(());
        }
    }
}

fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a small buffer");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let _ = serve(&mut stream);
            });
        }
    });
    address
}

fn call(address: SocketAddr, path: &str, size: usize) -> Call<'_> {
    Call {
        address,
        method: Method::POST,
        path,
        headers: HeaderMap::new(),
        body: vec![b'b'; size].into(),
        pooled: true,
        echo: None,
    }
}

async fn read_answer(
    client: &Client,
    call: Call<'_>,
) -> std::result::Result<(Answer, Vec<u8>), String> {
    let answer = async {
        let mut answer = client.send(call).await.map_err(|e| e.to_string())?;
        let body = answer.collect(MAX_BODY).await.map_err(|e| e.to_string())?;
        Ok((answer, body.bytes))
    };
    let answer = tokio::time::timeout(TIMEOUT, answer).await;
    answer.unwrap_or_else(|_| Err("timed out".to_owned()))
}

/// Makes a call on a new or a kept connection, and one after it, and describes what is wrong.
async fn check_cell(
    address: SocketAddr,
    (when, mark, end): (When, Mark, End),
    size: usize,
    kept: bool,
) -> Option<String> {
    let client = Client::default();
    if kept && let Err(error) = read_answer(&client, call(address, "/whole", 0)).await {
        return Some(format!("a sound call failed: {error}"));
    }
    let path = format!("/{when:?}/{mark:?}/{end:?}/{size}");
    let result = read_answer(&client, call(address, &path, size)).await;
    let outcome = expected(when, mark, end, size);
    let is_right = match &result {
        Ok((_, body)) => outcome != Outcome::Broken && body == TEXT.as_bytes(),
        Err(_) => outcome != Outcome::Whole,
    };
    if !is_right {
        let body = result.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
        return Some(format!("{path}, kept {kept}: {body:?}, not {outcome:?}"));
    }
    drop(result);
    // A silent endpoint says nothing to the next call either, if that is sent to it.
    let is_sent = when == When::After || size < LARGE;
    if end == End::Silence && is_sent {
        return None;
    }
    match read_answer(&client, call(address, "/whole", 0)).await {
        Ok((_, body)) if body == b"ok" => None,
        Ok((_, body)) => Some(format!("{path}: the next call got {body:?}")),
        // An endpoint that ends a connection may do so under the next call.
        Err(error) if error != "timed out" && !matches!(end, End::Keep | End::Silence) => None,
        Err(error) => Some(format!("{path}, kept {kept}: the next call: {error}")),
    }
}

/// Guards against an answer that ends with its connection before the call was sent whole and that counts as complete,
/// however the connection ends, against a complete early answer that is lost, and against
/// a next call that gets another answer or waits for the rest of the one before: for all times, marks and ends, on new
/// and kept connections, with bodies from one byte to the largest.
#[gtest]
fn answer_crossing_upload() {
    let mut random = StdRng::seed_from_u64(45);
    let address = start_server();
    let mut cells = Vec::new();
    for when in WHENS {
        for mark in MARKS {
            for end in ENDS {
                let middle = random.random_range(LARGE..MAX_BODY);
                for size in [1, READ_EARLY, LARGE, middle, MAX_BODY] {
                    cells.push(((when, mark, end), size, random.random()));
                }
            }
        }
    }
    let wrong: Vec<String> = run(stream::iter(cells)
        .map(|(cell, size, kept)| check_cell(address, cell, size, kept))
        .buffer_unordered(CONCURRENCY)
        .filter_map(|wrong| async { wrong })
        .collect());
    expect_that!(wrong, is_empty());
}
