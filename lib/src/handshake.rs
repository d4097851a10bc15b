//! The handshake that opens a session between instances, and a stream that counts its bytes.
//!
//! [`crate::peer`] describes the frames of the handshake. Each is prefixed with its length as a
//! little-endian 16-bit integer.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use hmac::Hmac;
use hmac::Mac;
use rand::RngCore;
use sha2::Sha256;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::ids::InstanceId;
use crate::peer::Identity;
use crate::peer::MAX_FRAME_BYTES;
use crate::peer::SessionCounters;

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
/// Protocol identifier at the start of the first frame.
const MAGIC: &[u8; 8] = b"fulmar/1";

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; PROOF_BYTES];

/// An error of a handshake.
#[derive(Debug, Display, Error, derive_more::From)]
pub(crate) enum HandshakeError {
    /// The connection failed.
    #[display("the connection failed: {_0}")]
    Io(io::Error),
    /// The proof of one side was not accepted by the other, or a frame was malformed.
    #[display("the peer and this instance share no secret")]
    #[from(skip)]
    Refused,
}

/// Performs the server side of a handshake. Returns the stream, the name of the client and the secret
/// that it proved to know.
pub(crate) async fn accept(
    mut stream: CountedStream,
    identity: &Identity,
) -> Result<(CountedStream, InstanceId, Vec<u8>), HandshakeError> {
    let hello = read_frame(&mut stream).await?;
    let rest = hello.strip_prefix(MAGIC).ok_or(HandshakeError::Refused)?;
    let (client_nonce, name) = rest
        .split_first_chunk::<NONCE_BYTES>()
        .ok_or(HandshakeError::Refused)?;
    let server_nonce = random_nonce();
    write_frame(&mut stream, &server_nonce).await?;
    let proof = read_frame(&mut stream).await?;
    let parts: [&[u8]; 4] = [b"client", client_nonce, &server_nonce, name];
    let secret = identity
        .secrets
        .all()
        .into_iter()
        .find(|secret| verify(secret, &parts, &proof))
        .ok_or(HandshakeError::Refused)?;
    let name = std::str::from_utf8(name).map_err(|_| HandshakeError::Refused)?;
    let own_name = identity.name.as_str().as_bytes();
    let parts: [&[u8]; 5] = [
        b"server",
        client_nonce,
        &server_nonce,
        name.as_bytes(),
        own_name,
    ];
    let mut reply = prove(&secret, &parts).to_vec();
    reply.extend_from_slice(own_name);
    write_frame(&mut stream, &reply).await?;
    Ok((stream, name.into(), secret))
}

/// Connects to a server and performs the client side of a handshake. Returns the stream and the name
/// of the server.
pub(crate) async fn connect(
    address: SocketAddr,
    identity: &Identity,
    secret: &[u8],
) -> Result<(CountedStream, InstanceId), HandshakeError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut stream = CountedStream::new(stream, identity.counters.clone(), Activity::new());
    let own_name = identity.name.as_str().as_bytes();
    let client_nonce = random_nonce();
    write_frame(&mut stream, &[MAGIC, &client_nonce[..], own_name].concat()).await?;
    let server_nonce = read_frame(&mut stream).await?;
    let parts: [&[u8]; 4] = [b"client", &client_nonce, &server_nonce, own_name];
    write_frame(&mut stream, &prove(secret, &parts)).await?;
    let reply = match read_frame(&mut stream).await {
        Ok(reply) => reply,
        // A server that rejects the proof closes the connection.
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            return Err(HandshakeError::Refused);
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
            return Err(HandshakeError::Refused);
        }
        Err(error) => return Err(error.into()),
    };
    let (proof, name) = reply
        .split_first_chunk::<PROOF_BYTES>()
        .ok_or(HandshakeError::Refused)?;
    let parts: [&[u8]; 5] = [b"server", &client_nonce, &server_nonce, own_name, name];
    if !verify(secret, &parts, proof) {
        return Err(HandshakeError::Refused);
    }
    let name = std::str::from_utf8(name).map_err(|_| HandshakeError::Refused)?;
    Ok((stream, name.into()))
}

fn random_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

fn mac(secret: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any size");
    for part in parts {
        // Without the lengths, different lists of parts with the same concatenation would have the same
        // MAC.
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}

fn prove(secret: &[u8], parts: &[&[u8]]) -> Proof {
    mac(secret, parts).finalize().into_bytes().into()
}

/// Verifies a proof in constant time.
fn verify(secret: &[u8], parts: &[&[u8]], proof: &[u8]) -> bool {
    mac(secret, parts).verify_slice(proof).is_ok()
}

async fn read_frame(stream: &mut CountedStream) -> io::Result<Vec<u8>> {
    let size = usize::from(stream.read_u16_le().await?);
    if size > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; size];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

async fn write_frame(stream: &mut CountedStream, frame: &[u8]) -> io::Result<()> {
    let size = u16::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    let bytes = [&size.to_le_bytes(), frame].concat();
    stream.write_all(&bytes).await
}

/// The time at which the last bytes were received from a peer.
#[derive(Clone, Debug)]
pub(crate) struct Activity(Rc<Cell<Instant>>);

impl Activity {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    pub(crate) fn idle_time(&self) -> Duration {
        self.0.get().elapsed()
    }
}

/// A TCP stream that counts its bytes and records when it last received any.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counters: Rc<SessionCounters>,
    activity: Activity,
}

impl CountedStream {
    pub(crate) fn new(
        stream: TcpStream,
        counters: Rc<SessionCounters>,
        activity: Activity,
    ) -> Self {
        Self {
            stream,
            counters,
            activity,
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 {
            let received = &self.counters.received;
            received.set(received.get() + count as u64);
            self.activity.0.set(Instant::now());
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = written {
            let sent = &self.counters.sent;
            sent.set(sent.get() + count as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
