//! Answers the messages of peers.

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

/// Answers messages.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Returns the answer to a message.
    fn handle(&self, envelope: PeerEnvelope) -> impl Future<Output = PeerMessage> + Send;
}

/// Settings of a server.
#[derive(Clone, Debug, bon::Builder)]
pub struct PeerServerSettings {
    /// Name of this instance.
    #[builder(into)]
    pub name: InstanceId,
    /// Time allowed to read a message, handle it and hand over its answer.
    #[builder(default = Duration::from_secs(2))]
    pub message_timeout: Duration,
    /// Time after which a connection without messages is closed. Heartbeats come twice a second,
    /// so only connections of dead peers stay silent.
    #[builder(default = Duration::from_secs(30))]
    pub idle_timeout: Duration,
    /// Connections at once; a further one is closed at once.
    #[builder(default = 1_024)]
    pub max_connections: usize,
    /// Messages at once on a connection.
    #[builder(default = 16)]
    pub max_streams: u32,
    /// Counts the bytes of messages and answers.
    #[builder(default)]
    pub byte_counter: ByteCounter,
}

/// Serves peers until `stop` is cancelled, then finishes the messages that have begun.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    settings: PeerServerSettings,
    handler: H,
    stop: CancellationToken,
) {
    let places = Arc::new(Semaphore::new(settings.max_connections));
    let settings = Arc::new(settings);
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting fails while the process is out of file descriptors; closing ones end that.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let (settings, handler, stop) = (settings.clone(), handler.clone(), stop.clone());
        connections.spawn(async move {
            let _place = place;
            // An error on the connection concerns only its peer, which sees it as well.
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
    let lost = |err: std::io::Error| PeerError::ConnectionLost(err.to_string().into());
    stream.set_nodelay(true).map_err(lost)?;
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(body::WINDOW).initial_connection_window_size(body::WINDOW);
    builder.max_header_list_size(body::MAX_HEADERS).max_concurrent_streams(settings.max_streams);
    let handshake = timeout(settings.message_timeout, builder.handshake(stream)).await;
    let mut conn = handshake.map_err(|_| PeerError::Timeout)??;
    let mut stopping = false;
    loop {
        let limit = if stopping { settings.message_timeout } else { settings.idle_timeout };
        let accepted = tokio::select! {
            accepted = timeout(limit, conn.accept()) => accepted,
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
    let answer = timeout(settings.message_timeout, answer(req, &settings, handler)).await;
    // The rest of a body that was refused is not read: dropping its stream resets it.
    match answer.unwrap_or(Err(PeerError::Timeout)) {
        Ok(body) => send(&mut respond, StatusCode::OK, body),
        Err(err) => send(&mut respond, err.status(), Bytes::new()),
    }
}

async fn answer<H: PeerHandler>(
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
    // An answer has no header fields of its own.
    settings.byte_counter.add(body.len());
    Ok(body)
}

/// Hands an answer over to the connection; the sender sees when that has broken.
fn send(respond: &mut SendResponse<Bytes>, status: StatusCode, body: Bytes) {
    let reply = Response::builder().status(status).body(()).expect("the parts are valid");
    let stream = respond.send_response(reply, body.is_empty());
    if let Ok(mut stream) = stream
        && !body.is_empty()
    {
        let _ = stream.send_data(body, true);
    }
}
