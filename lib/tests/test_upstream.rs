//! Tests of the HTTP client for calls to endpoints.

use std::future::Future;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::upstream::Call;
use fulmarford_lib::upstream::CallError;
use fulmarford_lib::upstream::Client;
use fulmarford_lib::upstream::Delimiter;
use fulmarford_lib::upstream::Echo;
use googletest::prelude::*;
use http::HeaderMap;
use http::Method;
use socket2::SockRef;

fn run<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts")
        .block_on(work)
}

fn call(address: SocketAddr, pooled: bool) -> Call<'static> {
    Call {
        address,
        method: Method::POST,
        path: "/call",
        headers: HeaderMap::new(),
        body: "{}".into(),
        pooled,
        echo: None,
    }
}

/// A server that sends a number of responses on each connection and then closes it unannounced.
struct ClosingServer {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

fn closing_server(response: &'static [u8], responses: usize) -> ClosingServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let server = ClosingServer {
        address: listener.local_addr().expect("bound"),
        requests: Arc::default(),
        connections: Arc::default(),
    };
    let (requests, connections) = (server.requests.clone(), server.connections.clone());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            connections.fetch_add(1, Ordering::Relaxed);
            let requests = requests.clone();
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                for _ in 0..responses {
                    match stream.read(&mut buffer) {
                        Ok(0) | Err(_) => return,
                        Ok(_) => requests.fetch_add(1, Ordering::Relaxed),
                    };
                    let _ = stream.write_all(response);
                }
            });
        }
    });
    server
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a wrong idea of what shows that a body is complete.
#[gtest]
fn send_delimiter() {
    let cases: [(&[u8], Delimiter); 6] = [
        (OK, Delimiter::Length),
        (b"HTTP/1.1 204 Empty\r\n\r\n", Delimiter::Length),
        (b"HTTP/1.1 200 OK\r\n\r\nok", Delimiter::Close),
        (b"HTTP/1.0 200 OK\r\n\r\nok", Delimiter::Close),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Delimiter::Chunks,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
            Delimiter::Close,
        ),
    ];
    for (response, delimiter) in cases {
        let server = closing_server(response, 1);
        let answer = run(Client::default().send(call(server.address, false)));
        let answer = answer.expect("a response");
        expect_that!(answer.delimiter, eq(delimiter));
    }
}

/// Guards against treating a refused connection as a call that may have run.
#[gtest]
fn send_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let result = run(Client::default().send(call(address, true)));
    expect_that!(matches!(result, Err(CallError::Unreachable(_))), eq(true));
}

/// Guards against a client that repeats a call after bytes of it were sent.
#[gtest]
fn send_no_hidden_repeat() {
    for pooled in [true, false] {
        let server = closing_server(b"", 1);
        let result = run(Client::default().send(call(server.address, pooled)));
        expect_that!(matches!(result, Err(CallError::Failed(_))), eq(true));
        thread::sleep(Duration::from_millis(50));
        expect_that!(server.requests.load(Ordering::Relaxed), eq(1));
    }
}

/// Guards against sending a non-idempotent call on a pooled connection, which the endpoint may have
/// closed.
#[gtest]
fn send_non_idempotent_on_new_connection() {
    let server = closing_server(OK, 10);
    run(async {
        let client = Client::default();
        for (pooled, connections) in [(true, 1), (true, 1), (false, 2), (false, 3), (true, 3)] {
            let mut answer = client
                .send(call(server.address, pooled))
                .await
                .expect("a response");
            let body = answer.collect(100).await.expect("body");
            expect_that!(body.bytes, eq(b"ok"));
            drop(answer);
            let opened = server.connections.load(Ordering::Relaxed);
            expect_that!(opened, eq(connections), "pooled {pooled}");
        }
    });
}

/// Guards against idempotent calls that fail because the endpoint closed an idle pooled connection.
#[gtest]
fn send_pooled_connection_closed() {
    let server = closing_server(OK, 1);
    run(async {
        let client = Client::default();
        for _ in 0..20 {
            let mut answer = client
                .send(call(server.address, true))
                .await
                .expect("a response");
            answer.collect(100).await.expect("body");
            drop(answer);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    expect_that!(server.requests.load(Ordering::Relaxed), eq(20));
}

/// Guards against a response that is lost because its endpoint states an idle timeout that no clock can
/// represent.
#[gtest]
fn answer_absurd_idle_timeout() {
    let responses: [(&[u8], usize); 4] = [
        (
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=18446744073709551615\r\ncontent-length: 2\r\n\r\nok",
            1,
        ),
        (
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=99999999999999999999\r\ncontent-length: 2\r\n\r\nok",
            1,
        ),
        (
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=-1\r\ncontent-length: 2\r\n\r\nok",
            1,
        ),
        (
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok",
            2,
        ),
    ];
    for (response, connections) in responses {
        let server = closing_server(response, 10);
        run(async {
            let client = Client::default();
            for _ in 0..2 {
                let mut answer = client
                    .send(call(server.address, true))
                    .await
                    .expect("a response");
                let body = answer.collect(100).await.expect("body");
                expect_that!(body.bytes, eq(b"ok"));
            }
        });
        let opened = server.connections.load(Ordering::Relaxed);
        expect_that!(opened, eq(connections));
    }
}

/// Guards against a call that keeps running on a silent endpoint after its response was dropped.
#[gtest]
fn answer_dropped_while_silent() {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nab";
    for before_head in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let closed = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a call");
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer);
            if !before_head {
                stream.write_all(head).expect("head");
            }
            let start = Instant::now();
            let limit = Some(Duration::from_secs(5));
            stream.set_read_timeout(limit).expect("timeout");
            let end = stream.read(&mut buffer);
            (start.elapsed(), matches!(end, Ok(0)) || end.is_err())
        });
        run(async {
            let client = Client::default();
            let limit = Duration::from_millis(100);
            let sent = tokio::time::timeout(limit, client.send(call(address, true))).await;
            if let Ok(answer) = sent {
                let mut answer = answer.expect("a response");
                let _ = tokio::time::timeout(limit, answer.collect(100)).await;
            }
            // Let the event loop close the socket.
            tokio::time::sleep(Duration::from_millis(100)).await;
        });
        let (elapsed, ended) = closed.join().expect("server ends");
        expect_that!(ended, eq(true));
        expect_that!(elapsed, lt(Duration::from_secs(1)));
    }
}

/// Guards against treating a truncated response as complete.
#[gtest]
fn answer_truncated() {
    let server = closing_server(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nab", 1);
    run(async {
        let mut answer = Client::default()
            .send(call(server.address, true))
            .await
            .expect("head");
        expect_that!(answer.collect(100).await.is_err(), eq(true));
    });
}

/// Guards against accepting a late response to an earlier call: on a reused connection, a response that
/// does not identify its call may belong to another one.
#[gtest]
fn send_unidentified_response_on_reused_connection() {
    let refusal: &[u8] = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
    let named: &[u8] = b"HTTP/1.1 200 OK\r\nx-call: 7\r\ncontent-length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = stream;
            let mut buffer = [0; 4096];
            for response in [named, refusal] {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(_) => stream.write_all(response).expect("written"),
                }
            }
        }
    });
    run(async {
        let client = Client::default();
        let named = |value| Call {
            echo: Some(Echo {
                name: "x-call",
                value,
            }),
            ..call(address, true)
        };
        let mut first = client.send(named("7")).await.expect("a response");
        first.collect(10).await.expect("a complete body");
        let second = client.send(named("8")).await;
        expect_that!(
            second.map(|answer| answer.status),
            err(matches_pattern!(CallError::Mismatched))
        );
    });
    let server = closing_server(refusal, 1);
    run(async {
        let own = Call {
            echo: Some(Echo {
                name: "x-call",
                value: "7",
            }),
            ..call(server.address, true)
        };
        let answer = Client::default().send(own).await;
        expect_that!(answer.map(|answer| answer.status), ok(eq(&503)));
    });
}

/// Guards against an earlier response that an endpoint repeats and that passes for the one to a later call
/// with the same ID: no connection carries an ID twice.
#[gtest]
fn send_repeated_id_on_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let connections: Arc<AtomicUsize> = Arc::default();
    let opened = connections.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let number = opened.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                let refusal: &[u8] = b"HTTP/1.1 503 Full\r\nx-call: 7\r\ncontent-length: 0\r\n\r\n";
                let answer: &[u8] = b"HTTP/1.1 200 OK\r\nx-call: 7\r\ncontent-length: 2\r\n\r\nok";
                let mut buffer = [0; 4096];
                let mut response = if number == 0 { refusal } else { answer };
                while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                    stream.write_all(response).expect("written");
                    if number == 0 {
                        // The refusal precedes the responses to all later calls.
                        response = b"HTTP/1.1 503 Full\r\nx-call: 7\r\ncontent-length: 0\r\n\r\n\
                            HTTP/1.1 200 OK\r\nx-call: 7\r\ncontent-length: 2\r\n\r\nok";
                    }
                }
            });
        }
    });
    run(async {
        let client = Client::default();
        let named = |value| Call {
            echo: Some(Echo {
                name: "x-call",
                value,
            }),
            ..call(address, true)
        };
        let mut first = client.send(named("7")).await.expect("a response");
        first.collect(10).await.expect("a complete body");
        expect_that!(first.status, eq(503));
        let mut second = client.send(named("7")).await.expect("a response");
        second.collect(10).await.expect("a complete body");
        expect_that!(second.status, eq(200));
        expect_that!(connections.load(Ordering::Relaxed), eq(2));
        // The connections remain in use for other calls.
        for id in ["8", "9"] {
            let other = client.send(named(id)).await;
            expect_that!(
                other.map(|answer| answer.status),
                err(matches_pattern!(CallError::Mismatched))
            );
        }
        expect_that!(connections.load(Ordering::Relaxed), eq(2));
    });
}

/// Guards against bytes that arrived on an idle connection and pass for the response to the next call,
/// although the event loop had no time to notice them.
#[gtest]
fn send_after_unread_bytes() {
    let late: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
    for closes in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                        stream.write_all(OK).expect("written");
                        thread::sleep(Duration::from_millis(20));
                        if closes {
                            return;
                        }
                        // This fails if the client has closed the connection.
                        let _ = stream.write_all(late);
                    }
                });
            }
        });
        run(async {
            let client = Client::default();
            for _ in 0..3 {
                let answer = client.send(call(address, true)).await;
                let mut answer = answer.expect("a response");
                let body = answer.collect(10).await.expect("a complete body");
                expect_that!(body.bytes, eq(b"ok"), "closes {closes}");
                drop(answer);
                // The event loop is busy while the bytes arrive.
                thread::sleep(Duration::from_millis(60));
            }
        });
    }
}

/// What an endpoint does on a connection after a whole response.
#[derive(Clone, Copy, Debug)]
enum AfterResponse {
    /// It sends bytes without end, from the end of the response or some time later.
    Flood(Duration),
    /// It sends one byte.
    Byte,
    /// It ends the connection in order.
    End,
    /// It resets the connection.
    Reset,
    /// It waits for the next call beyond the time for which the connection may be idle.
    Wait,
}

/// Time after which the client has pooled the connection of a response.
const POOLED_AFTER: Duration = Duration::from_millis(30);

/// Responds to one call on a connection, and returns how long the client left the connection open after that.
fn observe_idle(listener: &TcpListener, after: AfterResponse) -> Duration {
    let (mut stream, _) = listener.accept().expect("a call");
    let limit = Some(Duration::from_secs(4));
    stream.set_read_timeout(limit).expect("timeout");
    stream.set_write_timeout(limit).expect("timeout");
    let mut buffer = [b'y'; 16 << 10];
    let _ = stream.read(&mut buffer);
    let response = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
    match after {
        AfterResponse::Flood(delay) if delay.is_zero() => {
            let bytes = [&response[..], &buffer[..]].concat();
            let _ = stream.write_all(&bytes);
        }
        _ => stream.write_all(response).expect("written"),
    }
    let mut start = Instant::now();
    match after {
        AfterResponse::Flood(delay) => {
            thread::sleep(delay);
            start = Instant::now();
            while stream.write_all(&buffer).is_ok() {}
            return start.elapsed();
        }
        AfterResponse::Byte => {
            thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(b"y");
        }
        AfterResponse::End => {
            thread::sleep(POOLED_AFTER);
            stream.shutdown(Shutdown::Write).expect("shut down");
        }
        AfterResponse::Reset => {
            thread::sleep(POOLED_AFTER);
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("linger");
            return Duration::ZERO;
        }
        AfterResponse::Wait => {}
    }
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {}
    start.elapsed()
}

/// Returns the number of open descriptors of this process.
fn open_descriptors() -> usize {
    let entries = std::fs::read_dir("/proc/self/fd").expect("descriptors");
    entries.count()
}

/// Guards against an idle connection that stays open, with all that its endpoint sends, until the same endpoint is
/// called again.
#[gtest]
fn idle_connection_closed() {
    let cases = [
        AfterResponse::Flood(Duration::ZERO),
        AfterResponse::Flood(Duration::from_millis(300)),
        AfterResponse::Byte,
        AfterResponse::End,
        AfterResponse::Wait,
    ];
    for after in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let observed = thread::spawn(move || observe_idle(&listener, after));
        let other = closing_server(OK, usize::MAX);
        run(async {
            let client = Client::default();
            let answer = client.send(call(address, true)).await;
            let mut answer = answer.expect("a response");
            let body = answer.collect(10).await.expect("a complete body");
            expect_that!(body.bytes, eq(b"ok"), "{after:?}");
            drop(answer);
            // Only other endpoints are called from now on.
            let end = Instant::now() + Duration::from_secs(5);
            while !observed.is_finished() && Instant::now() < end {
                let answer = client.send(call(other.address, true)).await;
                let mut answer = answer.expect("a response");
                answer.collect(10).await.expect("a complete body");
                drop(answer);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        let open = observed.join().expect("the endpoint ends");
        let limit = match after {
            // The stated time, and that of a check.
            AfterResponse::Wait => Duration::from_millis(2_000),
            _ => Duration::from_millis(700),
        };
        expect_that!(open, lt(limit), "{after:?}");
    }
}

/// Guards against descriptors that connections to endpoints which ended keep, each of which was called at an address
/// of its own.
#[gtest]
fn idle_connection_of_ended_endpoint() {
    for after in [AfterResponse::End, AfterResponse::Reset] {
        run(async {
            let client = Client::default();
            let before = open_descriptors();
            for _ in 0..100 {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
                let address = listener.local_addr().expect("bound");
                let observed = thread::spawn(move || observe_idle(&listener, after));
                let answer = client.send(call(address, true)).await;
                let mut answer = answer.expect("a response");
                answer.collect(10).await.expect("a complete body");
                drop(answer);
                while !observed.is_finished() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            // Other tests of this process open some meanwhile.
            let opened = open_descriptors().saturating_sub(before);
            expect_that!(opened, lt(50), "{after:?}");
        });
    }
}

/// Responses by name, of which only the whole one may look complete.
const CUT_RESPONSES: [&str; 6] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 25\r\n\r\nthe whole of the response",
    "HTTP/1.1 103 Hint\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\ncontent-length: 5\n\nwhole",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\ncontent-length: 5\r\n\r\nwhole",
];

/// Serves [`CUT_RESPONSES`] by paths with the number of the response, the number of bytes before the cut, and how the
/// connection ends. The path `/whole` keeps its connection.
fn cutting_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(length) = stream.read(&mut buffer)
                    && length > 0
                {
                    let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    let path = request.split(' ').nth(1).unwrap_or_default();
                    let mut words = path.split('/').skip(1);
                    let number = words.next().and_then(|word| word.parse::<usize>().ok());
                    let Some(number) = number else {
                        let _ = stream.write_all(OK);
                        continue;
                    };
                    let cut = words.next().and_then(|word| word.parse().ok());
                    let response = CUT_RESPONSES[number].as_bytes();
                    let _ = stream.write_all(&response[..cut.unwrap_or(response.len())]);
                    if words.next() == Some("reset") {
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    }
                    return;
                }
            });
        }
    });
    address
}

/// Guards against a response that is cut within its head, or within a body of known length, and that counts as
/// complete: on new and on kept connections, after an interim response, with lone LF, and before an orderly end or a
/// reset.
#[gtest]
fn send_cut_response() {
    let address = cutting_server();
    let wrong: Vec<String> = run(async {
        let client = Client::default();
        let mut wrong = Vec::new();
        for (number, response) in CUT_RESPONSES.iter().enumerate() {
            for cut in 0..response.len() {
                for ending in ["end", "reset"] {
                    // The next call uses the connection of this one.
                    if cut % 2 == 0 {
                        let mut kept = Call {
                            path: "/whole",
                            ..call(address, true)
                        };
                        kept.body = "".into();
                        let mut answer = client.send(kept).await.expect("a response");
                        answer.collect(100).await.expect("a body");
                    }
                    let path = format!("/{number}/{cut}/{ending}");
                    let cut_call = Call {
                        path: &path,
                        ..call(address, cut % 2 == 0)
                    };
                    let Ok(mut answer) = client.send(cut_call).await else {
                        continue;
                    };
                    if let Ok(body) = answer.collect(100).await {
                        wrong.push(format!("{path}: {} {:?}", answer.status, body.bytes));
                    }
                }
            }
        }
        wrong
    });
    expect_that!(wrong, is_empty());
}

/// Status lines of one endpoint that are no final status.
const INVALID_STATUSES: [&str; 15] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 001 None",
    "HTTP/1.1 099 None",
    "HTTP/1.1 101 Switch",
    "HTTP/1.1 199 Hint",
    "HTTP/1.1 600 Other",
    "HTTP/1.1 999 Other",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 2xx OK",
    "HTTP/1.1  OK",
    "HTTP/1.1",
    "HTTP/1.1 200OK",
];

/// Guards against a status that is none and that reaches the caller, on a new and on a kept connection, and against a
/// later call that gets the rest of such an answer.
#[gtest]
fn send_invalid_status() {
    for status in INVALID_STATUSES {
        let response = format!("{status}\r\ncontent-length: 3\r\n\r\nbad");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = stream;
                let response = response.clone();
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(length) = stream.read(&mut buffer)
                        && length > 0
                    {
                        let is_bad = buffer[..length].starts_with(b"POST /bad");
                        let response = if is_bad { response.as_bytes() } else { OK };
                        let _ = stream.write_all(response);
                        // What follows an interim response does not come.
                        if response.starts_with(b"HTTP/1.1 199") {
                            return;
                        }
                    }
                });
            }
        });
        for kept in [false, true] {
            run(async {
                let client = Client::default();
                let ok = async || {
                    let mut answer = client.send(call(address, true)).await.expect("a response");
                    answer.collect(10).await.expect("a body").bytes
                };
                if kept {
                    expect_that!(ok().await, eq(b"ok"));
                }
                let bad = Call {
                    path: "/bad",
                    ..call(address, true)
                };
                let sent = tokio::time::timeout(Duration::from_secs(5), client.send(bad)).await;
                let sent = sent.map(|sent| sent.map(|answer| answer.status));
                let is_refused =
                    matches!(sent, Ok(Err(ref e)) if !matches!(e, CallError::Unreachable(_)));
                expect_that!(is_refused, eq(true), "{status:?}, kept {kept}: {sent:?}");
                expect_that!(ok().await, eq(b"ok"), "{status:?}, kept {kept}");
            });
        }
    }
}

/// Guards against the body of a response that has none and that passes for the response to the next call.
#[gtest]
fn send_body_of_bodiless_response() {
    let body = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad";
    for head in [
        "HTTP/1.1 204 Empty\r\n",
        "HTTP/1.1 304 Same\r\ncontent-length: 41\r\n",
    ] {
        // The body comes with its head, or when the client has read that.
        for pause in [Duration::ZERO, Duration::from_millis(50)] {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("bound");
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let mut stream = stream;
                    thread::spawn(move || {
                        let mut buffer = [0; 4096];
                        while let Ok(length) = stream.read(&mut buffer)
                            && length > 0
                        {
                            if !buffer[..length].starts_with(b"POST /empty") {
                                let _ = stream.write_all(OK);
                                continue;
                            }
                            let head = format!("{head}\r\n");
                            if pause.is_zero() {
                                let _ = stream.write_all(format!("{head}{body}").as_bytes());
                                continue;
                            }
                            let _ = stream.write_all(head.as_bytes());
                            thread::sleep(pause);
                            let _ = stream.write_all(body.as_bytes());
                        }
                    });
                }
            });
            run(async {
                let client = Client::default();
                let empty = Call {
                    path: "/empty",
                    ..call(address, true)
                };
                let mut answer = client.send(empty).await.expect("a response");
                let collected = answer.collect(100).await.expect("an empty body");
                expect_that!(collected.bytes, is_empty());
                drop(answer);
                tokio::time::sleep(2 * pause).await;
                let mut answer = client.send(call(address, true)).await.expect("a response");
                let collected = answer.collect(100).await.expect("a body");
                expect_that!(collected.bytes, eq(b"ok"), "{head:?} {pause:?}");
            });
        }
    }
}
