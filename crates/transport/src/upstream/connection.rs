use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use bytes::Bytes;
use h2::client::{self, SendRequest};
use tokio::{
    net::{TcpSocket, TcpStream},
    time,
};

use super::{
    frames::{FrameTracker, ObservedIo},
    pool::PoolSettings,
};

/// Flow-control window of a stream: a reply of up to this size needs no window update.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window that all streams of a connection share: four full stream windows.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// An open HTTP/2 connection. Clones share it; it closes after the last clone and the last stream
/// are dropped.
#[derive(Clone)]
pub(super) struct Connection {
    /// Sends requests on new streams.
    pub(super) sender: SendRequest<Bytes>,
    /// State derived from the frames sent and received so far.
    pub(super) frames: Arc<FrameTracker>,
    /// Time at which the SETTINGS frame of the replica arrived.
    pub(super) opened_at: time::Instant,
}

impl Connection {
    /// Opens a connection and waits for the SETTINGS frame of the replica.
    pub(super) async fn open(
        addr: SocketAddr,
        settings: PoolSettings,
        on_close: impl FnOnce() + Send + 'static,
    ) -> io::Result<Connection> {
        let opening = async {
            let socket = connect(addr, settings.source).await?;
            socket.set_nodelay(true)?;
            let frames = Arc::new(FrameTracker::default());
            let observed = ObservedIo::new(socket, Arc::clone(&frames));
            let (sender, driver) = client::Builder::new()
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .enable_push(false)
                .handshake::<_, Bytes>(observed)
                .await
                .map_err(io::Error::other)?;
            io::Result::Ok((sender, driver, frames))
        };
        let deadline = time::Instant::now() + settings.connect_timeout;
        let (sender, driver, frames) = time::timeout_at(deadline, opening).await??;
        let closing_frames = Arc::clone(&frames);
        tokio::spawn(async move {
            // The streams of the connection report its error.
            let _ = driver.await;
            closing_frames.mark_closed();
            on_close();
        });
        // A replica at its connection limit, or a live listener in front of a dead replica, accepts a
        // connection and closes it. A request sent on it would look as if it had crashed the replica.
        if !time::timeout_at(deadline, frames.wait_for_settings()).await? {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(Connection { sender, frames, opened_at: time::Instant::now() })
    }

    /// Whether new streams may be opened.
    pub(super) fn is_usable(&self) -> bool {
        !self.frames.is_closed() && !self.frames.is_going_away()
    }
}

async fn connect(addr: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind((source, 0).into())?;
    }
    socket.connect(addr).await
}
