//! Client that sends messages to one peer.

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
    /// Address at which the peer serves messages.
    pub addr: SocketAddr,
    /// Local address to connect from; chosen by the operating system when absent.
    pub source: Option<IpAddr>,
    /// Name of this instance, sent with each message.
    #[builder(into)]
    pub from: InstanceId,
    /// Timeout of sending a message and receiving its reply, including opening a connection if
    /// necessary.
    #[builder(default = Duration::from_secs(1))]
    pub timeout: Duration,
    /// Counts the bytes of messages and replies.
    #[builder(default)]
    pub byte_counter: ByteCounter,
}

/// Client of one peer. It connects at the first message, reuses the connection, and reconnects after
/// the connection failed or a message timed out.
pub struct PeerClient {
    settings: PeerClientSettings,
    connection: Mutex<Option<OpenConnection>>,
    next_connection_id: AtomicU64,
}

/// An open connection. The `id` distinguishes it from its successor.
#[derive(Clone)]
struct OpenConnection {
    id: u64,
    sender: SendRequest<Bytes>,
}

impl PeerClient {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(settings: PeerClientSettings) -> PeerClient {
        PeerClient { settings, connection: Mutex::new(None), next_connection_id: AtomicU64::new(0) }
    }

    /// Address of the peer.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.settings.addr
    }

    /// Sends a message and returns the reply of the peer.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large, or when the peer cannot be reached, refuses the message,
    /// does not reply before the timeout or sends a malformed reply.
    pub async fn send(&self, message: PeerMessage) -> Result<PeerEnvelope, PeerError> {
        let from = self.settings.from.clone();
        let body = codec::encode(&PeerEnvelope { protocol: PEER_PROTOCOL_VERSION, from, message })?;
        let deadline = Instant::now() + self.settings.timeout;
        let connected = timeout_at(deadline, self.connection()).await;
        let OpenConnection { id, sender } =
            connected.unwrap_or_else(|_| Err(PeerError::Connect("timed out".into())))?;
        let reply = timeout_at(deadline, exchange(sender, &self.settings, body)).await;
        let reply = reply.unwrap_or(Err(PeerError::Timeout));
        if matches!(reply, Err(PeerError::Timeout | PeerError::ConnectionLost(_))) {
            self.discard(id).await;
        }
        reply
    }

    /// Returns the open connection, or opens one.
    async fn connection(&self) -> Result<OpenConnection, PeerError> {
        let mut connection = self.connection.lock().await;
        if let Some(it) = &*connection {
            return Ok(it.clone());
        }
        let id = self.next_connection_id.fetch_add(1, Ordering::Relaxed);
        let it = OpenConnection { id, sender: self.open().await? };
        *connection = Some(it.clone());
        Ok(it)
    }

    /// Discards the connection with this id, so that the next message opens another one.
    async fn discard(&self, id: u64) {
        let mut connection = self.connection.lock().await;
        if connection.as_ref().is_some_and(|it| it.id == id) {
            *connection = None;
        }
    }

    async fn open(&self) -> Result<SendRequest<Bytes>, PeerError> {
        let connect_error = |err: std::io::Error| PeerError::Connect(err.to_string().into());
        let stream = self.connect().await.map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(body::WINDOW_BYTES)
            .initial_connection_window_size(body::WINDOW_BYTES);
        builder.max_header_list_size(body::MAX_HEADER_LIST_BYTES).enable_push(false);
        let handshake = builder.handshake(stream).await;
        let (sender, conn) = handshake.map_err(|err| PeerError::Connect(err.to_string().into()))?;
        // An error of the connection is reported by the messages that use it.
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
        .expect("the request parts are valid");
    let mut sender = sender.ready().await?;
    let sent_bytes = req.uri().path().len() + header_bytes(req.headers()) + body.len();
    let (response, mut stream) = sender.send_request(req, false)?;
    settings.byte_counter.add(sent_bytes);
    stream.send_data(body, true)?;
    let (head, body) = response.await?.into_parts();
    if head.status != StatusCode::OK {
        return Err(PeerError::from_status(head.status));
    }
    let body = body::read(&head.headers, body).await?;
    settings.byte_counter.add(header_bytes(&head.headers) + body.len());
    codec::decode(&body)
}
