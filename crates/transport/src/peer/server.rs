//! Server that replies to the messages of peers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Method, Request, Response, StatusCode};
use rosemarybank_protocol::{
    id::InstanceId,
    peer::{PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{body, codec, error::PeerError};
use crate::traffic::{ByteCounter, header_bytes};

/// Handler of peer messages.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Returns the reply to a message.
    fn handle(&self, envelope: PeerEnvelope) -> impl Future<Output = PeerMessage> + Send;
}

/// Settings of the peer server.
#[derive(Clone, Debug, bon::Builder)]
pub struct PeerServerSettings {
    /// Name of this instance, sent with each reply.
    #[builder(into)]
    pub name: InstanceId,
    /// Timeout of reading and handling a message, and of the HTTP/2 handshake.
    #[builder(default = Duration::from_secs(2))]
    pub message_timeout: Duration,
    /// Time after which a connection without messages is closed. Live peers send heartbeats twice a
    /// second, so an idle connection belongs to a dead peer.
    #[builder(default = Duration::from_secs(30))]
    pub idle_timeout: Duration,
    /// Maximum number of open connections. Further connections are closed immediately after they
    /// are accepted.
    #[builder(default = 1_024)]
    pub max_connections: usize,
    /// Maximum number of concurrent messages on a connection.
    #[builder(default = 16)]
    pub max_streams: u32,
    /// Counts the bytes of messages and replies.
    #[builder(default)]
    pub byte_counter: ByteCounter,
}

/// Serves peers until `stop` is cancelled, and then completes the messages in progress.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    settings: PeerServerSettings,
    handler: H,
    stop: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(settings.max_connections));
    let settings = Arc::new(settings);
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting fails while the process has no free file descriptor; the delay lets other
            // connections close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let (settings, handler, stop) = (settings.clone(), handler.clone(), stop.clone());
        connections.spawn(async move {
            let _permit = permit;
            // A connection error affects only this peer, which observes it as well.
            let _ = serve_connection(stream, settings, handler, stop).await;
        });
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    settings: Arc<PeerServerSettings>,
    handler: H,
    stop: CancellationToken,
) -> Result<(), PeerError> {
    let connection_lost = |err: std::io::Error| PeerError::ConnectionLost(err.to_string().into());
    stream.set_nodelay(true).map_err(connection_lost)?;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(body::WINDOW_BYTES)
        .initial_connection_window_size(body::WINDOW_BYTES);
    builder
        .max_header_list_size(body::MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(settings.max_streams);
    let handshake = timeout(settings.message_timeout, builder.handshake(stream)).await;
    let mut conn = handshake.map_err(|_| PeerError::Timeout)??;
    let mut stopping = false;
    loop {
        // While stopping, `accept` drives the messages in progress, each of which ends within
        // `message_timeout`.
        let idle_limit = if stopping { settings.message_timeout } else { settings.idle_timeout };
        let accepted = tokio::select! {
            accepted = timeout(idle_limit, conn.accept()) => accepted,
            () = stop.cancelled(), if !stopping => {
                conn.graceful_shutdown();
                stopping = true;
                continue;
            }
        };
        let Ok(Some(accepted)) = accepted else { return Ok(()) };
        let (req, respond) = accepted?;
        let (settings, handler) = (settings.clone(), handler.clone());
        tokio::spawn(serve_message(req, respond, settings, handler));
    }
}

async fn serve_message<H: PeerHandler>(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    settings: Arc<PeerServerSettings>,
    handler: H,
) {
    let reply = timeout(settings.message_timeout, handle_request(req, &settings, handler)).await;
    // The rest of a refused body is not read: dropping its stream resets it.
    match reply.unwrap_or(Err(PeerError::Timeout)) {
        Ok(body) => send_response(&mut respond, StatusCode::OK, body),
        Err(err) => send_response(&mut respond, err.status(), Bytes::new()),
    }
}

/// Reads a message, handles it and encodes the reply.
async fn handle_request<H: PeerHandler>(
    req: Request<RecvStream>,
    settings: &PeerServerSettings,
    handler: H,
) -> Result<Bytes, PeerError> {
    let (head, body) = req.into_parts();
    if head.method != Method::POST || head.uri.path() != "/peer" {
        return Err(PeerError::Malformed("the request is not POST /peer".into()));
    }
    let body = body::read(&head.headers, body).await?;
    let headers = header_bytes(&head.headers);
    settings.byte_counter.add(head.uri.path().len() + headers + body.len());
    let envelope = codec::decode(&body)?;
    let message = handler.handle(envelope).await;
    let from = settings.name.clone();
    let body = codec::encode(&PeerEnvelope { protocol: PEER_PROTOCOL_VERSION, from, message })?;
    // A reply has no header fields.
    settings.byte_counter.add(body.len());
    Ok(body)
}

/// Sends a response. Errors are ignored: the client observes a failed connection itself.
fn send_response(respond: &mut SendResponse<Bytes>, status: StatusCode, body: Bytes) {
    let response = Response::builder().status(status).body(()).expect("the status is valid");
    let stream = respond.send_response(response, body.is_empty());
    if let Ok(mut stream) = stream
        && !body.is_empty()
    {
        let _ = stream.send_data(body, true);
    }
}
