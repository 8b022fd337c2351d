//! Sends messages to one peer.

use std::{
    net::{IpAddr, SocketAddr},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode, header};
use rosemarybank_protocol::{
    id::InstanceId,
    peer::{PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage},
};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    time::{Instant, timeout_at},
};

use super::{body, codec, error::PeerError};
use crate::traffic::{ByteCounter, header_bytes};

/// Settings of a [`PeerClient`].
///
/// # Examples
///
/// ```
/// use rosemarybank_transport::peer::PeerClientSettings;
///
/// let addr = "127.0.0.1:7101".parse().unwrap();
/// let settings = PeerClientSettings::builder().addr(addr).from("e1").build();
/// assert_eq!(settings.timeout.as_millis(), 1_000);
/// ```
#[derive(Clone, Debug, bon::Builder)]
pub struct PeerClientSettings {
    /// Address of the peer's peer port.
    pub addr: SocketAddr,
    /// Local address to connect from; the system chooses when absent.
    pub source: Option<IpAddr>,
    /// Name of this instance.
    #[builder(into)]
    pub from: InstanceId,
    /// Time allowed for a message and its answer, with the connection if there is none.
    #[builder(default = Duration::from_secs(1))]
    pub timeout: Duration,
    /// Counts the bytes of messages and answers.
    #[builder(default)]
    pub byte_counter: ByteCounter,
}

/// Link to one peer. It connects at the first message, keeps the connection, and connects again
/// after it broke or fell silent.
pub struct PeerClient {
    settings: PeerClientSettings,
    open: Mutex<Option<Open>>,
    opened: AtomicU64,
}

/// An open connection; the number tells it from those before and after it.
#[derive(Clone)]
struct Open {
    number: u64,
    sender: SendRequest<Bytes>,
}

impl PeerClient {
    /// Builds a link without connecting.
    #[must_use]
    pub fn new(settings: PeerClientSettings) -> PeerClient {
        PeerClient { settings, open: Mutex::new(None), opened: AtomicU64::new(0) }
    }

    /// Address of the peer.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.settings.addr
    }

    /// Sends a message and returns the peer's answer.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large, the peer cannot be reached, refuses the message or
    /// does not answer in time.
    pub async fn send(&self, message: PeerMessage) -> Result<PeerEnvelope, PeerError> {
        let from = self.settings.from.clone();
        let body = codec::encode(&PeerEnvelope { protocol: PEER_PROTOCOL_VERSION, from, message })?;
        let until = Instant::now() + self.settings.timeout;
        let connected = timeout_at(until, self.connected()).await;
        let Open { number, sender } =
            connected.unwrap_or_else(|_| Err(PeerError::Connect("timed out".into())))?;
        let answer = timeout_at(until, exchange(sender, &self.settings, body)).await;
        let answer = answer.unwrap_or(Err(PeerError::Timeout));
        if matches!(answer, Err(PeerError::Timeout | PeerError::ConnectionLost(_))) {
            self.abandon(number).await;
        }
        answer
    }

    async fn connected(&self) -> Result<Open, PeerError> {
        let mut open = self.open.lock().await;
        if let Some(it) = &*open {
            return Ok(it.clone());
        }
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        let it = Open { number, sender: self.open().await? };
        *open = Some(it.clone());
        Ok(it)
    }

    /// Makes the next message open another connection.
    async fn abandon(&self, number: u64) {
        let mut open = self.open.lock().await;
        if open.as_ref().is_some_and(|it| it.number == number) {
            *open = None;
        }
    }

    async fn open(&self) -> Result<SendRequest<Bytes>, PeerError> {
        let failed = |err: std::io::Error| PeerError::Connect(err.to_string().into());
        let stream = self.connect().await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(body::WINDOW).initial_connection_window_size(body::WINDOW);
        builder.max_header_list_size(body::MAX_HEADERS).enable_push(false);
        let handshake = builder.handshake(stream).await;
        let (sender, conn) = handshake.map_err(|err| PeerError::Connect(err.to_string().into()))?;
        // The end of the connection shows in the messages that use it.
        tokio::spawn(async move { drop(conn.await) });
        Ok(sender)
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let addr = self.settings.addr;
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(source) = self.settings.source {
            socket.bind((source, 0).into())?;
        }
        socket.connect(addr).await
    }
}

async fn exchange(
    sender: SendRequest<Bytes>,
    settings: &PeerClientSettings,
    body: Bytes,
) -> Result<PeerEnvelope, PeerError> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/peer", settings.addr))
        .header(header::CONTENT_LENGTH, body.len())
        .body(())
        .expect("the parts are valid");
    let mut sender = sender.ready().await?;
    let sent = req.uri().path().len() + header_bytes(req.headers()) + body.len();
    let (reply, mut stream) = sender.send_request(req, false)?;
    settings.byte_counter.add(sent);
    stream.send_data(body, true)?;
    let (head, body) = reply.await?.into_parts();
    if head.status != StatusCode::OK {
        return Err(PeerError::from_status(head.status));
    }
    let body = body::read(&head.headers, body).await?;
    settings.byte_counter.add(header_bytes(&head.headers) + body.len());
    codec::decode(&body)
}
