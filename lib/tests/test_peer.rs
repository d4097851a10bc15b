//! Tests of authenticated sessions between instances over the loopback interface.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::InstanceId;
use fulmarford_lib::peer;
use fulmarford_lib::peer::CallError;
use fulmarford_lib::peer::Identity;
use fulmarford_lib::peer::Link;
use fulmarford_lib::peer::ResponseFuture;
use fulmarford_lib::peer::SecretError;
use fulmarford_lib::peer::Secrets;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

const OLD: &str = "old-secret-of-the-cluster";
const NEW: &str = "new-secret-of-the-cluster";
const TIMEOUT: Duration = Duration::from_secs(2);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Service that responds to a poll with the name of the peer and the request.
#[derive(Default)]
struct Echo {
    delivered: Cell<usize>,
}

impl peer::Service for Echo {
    fn poll(self: Rc<Self>, peer: InstanceId, request: Vec<u8>) -> ResponseFuture {
        Box::pin(async move { Some([peer.as_str().as_bytes(), &request].concat()) })
    }

    fn deliver(&self, _: &InstanceId, _: &[u8]) {
        self.delivered.set(self.delivered.get() + 1);
    }

    fn submit(self: Rc<Self>, _: InstanceId, request: Vec<u8>) -> ResponseFuture {
        Box::pin(async move {
            sleep(TIMEOUT).await;
            Some(request)
        })
    }

    fn join(self: Rc<Self>, _: InstanceId, _: Vec<u8>) -> ResponseFuture {
        Box::pin(async { None })
    }
}

fn identity(name: &str, secrets: &str) -> Identity {
    Identity {
        name: name.into(),
        secrets: Secrets::parse(secrets).expect("secrets are valid"),
        counters: Rc::default(),
    }
}

async fn serve_at(address: &str, identity: Identity) -> (SocketAddr, JoinHandle<()>, Rc<Echo>) {
    let listener = TcpListener::bind(address).await.expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let echo = Rc::<Echo>::default();
    let task = spawn_local(peer::serve(listener, identity, echo.clone()));
    (address, task, echo)
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(Duration::from_secs(30), test)
            .await
            .expect("the test ends in time")
    })
}

/// Guards against sessions that lose requests or confuse peer names.
#[gtest]
fn poll_known_peer() {
    run(async {
        let (address, _task, echo) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let link = Link::start(address, identity("b", OLD));
        expect_true!(link.connected(TIMEOUT).await);
        expect_that!(link.poll(b"-x", TIMEOUT).await, ok(eq(b"b-x")));
        expect_that!(link.peer(), some(eq(&InstanceId::from("a"))));
        link.deliver(b"m", TIMEOUT);
        sleep(SHORT_TIMEOUT).await;
        expect_that!(echo.delivered.get(), eq(1));
    });
}

/// Guards against sessions of clients that do not know the secret of the cluster.
#[gtest]
fn connect_unknown_peer() {
    run(async {
        let (address, _task, _) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let link = Link::start(address, identity("b", NEW));
        expect_false!(link.connected(SHORT_TIMEOUT).await);
        expect_that!(
            link.poll(b"", TIMEOUT).await,
            err(eq(&CallError::NotConnected))
        );
    });
}

/// Guards against a client that accepts a server which does not know the secret.
#[gtest]
fn connect_unknown_server() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("bound");
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("accepted");
                let mut buffer = [0; 128];
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(&[&[32, 0], &[7; 32][..]].concat()).await;
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(&[&[33, 0], &[7; 33][..]].concat()).await;
            }
        });
        let link = Link::start(address, identity("b", OLD));
        expect_false!(link.connected(SHORT_TIMEOUT).await);
    });
}

/// Guards against a server that sends more than a nonce to an unauthenticated client, or waits for it
/// indefinitely.
#[gtest]
fn accept_unauthenticated_bytes() {
    run(async {
        let (address, _task, _) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let hello = [&b"fulmar/1"[..], &[1; 32], b"b"].concat();
        let proof = [3; 32];
        let mut stream = TcpStream::connect(address).await.expect("connected");
        for frame in [&hello[..], &proof] {
            let size = (frame.len() as u16).to_le_bytes();
            stream.write_all(&size).await.expect("written");
            stream.write_all(frame).await.expect("written");
        }
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        expect_that!(received.len(), eq(2 + 32));

        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.write_all(&[255; 600]).await.expect("written");
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        expect_that!(received.len(), eq(0));

        let started = Instant::now();
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let _ = stream.read_to_end(&mut received).await;
        expect_that!(started.elapsed(), lt(2 * peer::HANDSHAKE_TIMEOUT));
    });
}

/// Guards against a replayed handshake that opens a session. A proxy records the frames of a client.
#[gtest]
fn accept_replayed_proof() {
    run(async {
        let (address, _task, _) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let proxy_listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let proxy = proxy_listener.local_addr().expect("bound");
        let _link = Link::start(proxy, identity("b", OLD));
        let (mut client, _) = proxy_listener.accept().await.expect("accepted");
        let mut server = TcpStream::connect(address).await.expect("connected");
        let mut sent = Vec::new();
        for size in [2 + 8 + 32 + 1, 2 + 32] {
            let mut frame = vec![0; size];
            client.read_exact(&mut frame).await.expect("read");
            server.write_all(&frame).await.expect("written");
            let mut response = vec![0; 2 + 32];
            server.read_exact(&mut response).await.expect("read");
            client.write_all(&response).await.expect("written");
            sent.push(frame);
        }
        let mut replay = TcpStream::connect(address).await.expect("connected");
        replay.write_all(&sent.concat()).await.expect("written");
        let mut received = Vec::new();
        let _ = replay.read_to_end(&mut received).await;
        expect_that!(received.len(), eq(2 + 32));
    });
}

/// Guards against a secret rotation that interrupts sessions, and against a secret that is accepted after
/// its removal.
#[gtest]
fn replace_secrets_gradually() {
    run(async {
        let (server, client) = (identity("a", OLD), identity("b", OLD));
        let (address, _task, _) = serve_at("127.0.0.1:0", server.clone()).await;
        let link = Link::start(address, client.clone());
        expect_true!(link.connected(TIMEOUT).await);
        let both = format!("{NEW}\n{OLD}\n");
        // The client tries the new secret first, which the server does not know yet.
        client.secrets.replace(&both).expect("valid");
        expect_that!(link.poll(b"1", TIMEOUT).await, ok(eq(b"b1")));
        let second = Link::start(address, client.clone());
        expect_true!(second.connected(TIMEOUT).await);
        server.secrets.replace(&both).expect("valid");
        expect_that!(link.poll(b"2", TIMEOUT).await, ok(eq(b"b2")));
        client.secrets.replace(NEW).expect("valid");
        server.secrets.replace(NEW).expect("valid");
        sleep(Duration::from_millis(2_500)).await;
        expect_true!(link.connected(TIMEOUT).await);
        expect_that!(link.poll(b"3", TIMEOUT).await, ok(eq(b"b3")));
        let outdated = Link::start(address, identity("c", OLD));
        expect_false!(outdated.connected(SHORT_TIMEOUT).await);
    });
}

/// Guards against links that do not reconnect after the peer restarts.
#[gtest]
fn reconnect_after_restart() {
    run(async {
        let (address, task, _) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let link = Link::start(address, identity("b", OLD));
        expect_true!(link.connected(TIMEOUT).await);
        expect_that!(link.poll(b"1", TIMEOUT).await, ok(eq(b"b1")));
        task.abort();
        let _ = task.await;
        sleep(SHORT_TIMEOUT).await;
        expect_that!(
            link.poll(b"2", TIMEOUT).await,
            err(eq(&CallError::NotConnected))
        );
        let (_, _task, _) = serve_at(&address.to_string(), identity("a", OLD)).await;
        expect_true!(link.connected(TIMEOUT).await);
        expect_that!(link.poll(b"3", TIMEOUT).await, ok(eq(b"b3")));
    });
}

/// Guards against calls that wait indefinitely, and against a call with unknown outcome that is reported
/// as not sent.
#[gtest]
fn submit_without_response() {
    run(async {
        let (address, _task, _) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let link = Link::start(address, identity("b", OLD));
        expect_true!(link.connected(TIMEOUT).await);
        let started = Instant::now();
        expect_that!(
            link.submit(b"x", SHORT_TIMEOUT).await,
            err(eq(&CallError::Lost))
        );
        expect_that!(started.elapsed(), lt(TIMEOUT));
    });
}

/// Guards against a peer that exhausts memory with sessions or with one large message.
#[gtest]
fn accept_limits() {
    run(async {
        let (address, _task, _) = serve_at("127.0.0.1:0", identity("a", OLD)).await;
        let links: Vec<_> = (0..=peer::MAX_SESSIONS_PER_PEER)
            .map(|_| Link::start(address, identity("b", OLD)))
            .collect();
        sleep(SHORT_TIMEOUT).await;
        let mut served = 0;
        for link in &links {
            served += usize::from(link.poll(b"", SHORT_TIMEOUT).await.is_ok());
        }
        expect_that!(served, eq(peer::MAX_SESSIONS_PER_PEER));

        let link = Link::start(address, identity("c", OLD));
        expect_true!(link.connected(TIMEOUT).await);
        let large = vec![0; peer::MAX_MESSAGE_BYTES + 8];
        expect_that!(link.poll(&large, TIMEOUT).await, err(anything()));
        expect_true!(link.connected(TIMEOUT).await);
        sleep(SHORT_TIMEOUT).await;
        expect_true!(link.connected(TIMEOUT).await);
        expect_that!(link.poll(b"", TIMEOUT).await, ok(eq(b"c")));
    });
}

/// Guards against secrets that are short enough to be guessed from an observed handshake.
#[gtest]
fn parse_weak_secrets() {
    expect_that!(Secrets::parse("\n\n").err(), some(eq(&SecretError::Empty)));
    let error = Secrets::parse(&format!("{OLD}\nshort")).err();
    expect_that!(error, some(eq(&SecretError::Short { line: 2 })));
}
