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
    frames::{FrameLog, Observed},
    pool::PoolSettings,
};

/// Stream and connection windows that let a reply arrive without a round trip for flow control.
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 4 << 20;

/// An open h2 connection. Clones share it; it closes when the last clone and stream are gone.
#[derive(Clone)]
pub(super) struct Connection {
    /// Opens streams.
    pub(super) requests: SendRequest<Bytes>,
    /// Frames seen so far.
    pub(super) log: Arc<FrameLog>,
    /// When the connection was opened.
    pub(super) opened_at: time::Instant,
}

impl Connection {
    /// Connects and waits for the settings of the replica.
    pub(super) async fn open(
        addr: SocketAddr,
        settings: PoolSettings,
        on_end: impl FnOnce() + Send + 'static,
    ) -> io::Result<Connection> {
        let opening = async {
            let socket = connect(addr, settings.source).await?;
            socket.set_nodelay(true)?;
            let log = Arc::new(FrameLog::default());
            let observed = Observed::new(socket, Arc::clone(&log));
            let (requests, driver) = client::Builder::new()
                .initial_window_size(STREAM_WINDOW)
                .initial_connection_window_size(CONNECTION_WINDOW)
                .enable_push(false)
                .handshake::<_, Bytes>(observed)
                .await
                .map_err(io::Error::other)?;
            io::Result::Ok((requests, driver, log))
        };
        let opened_by = time::Instant::now() + settings.connect_timeout;
        let (requests, driver, log) = time::timeout_at(opened_by, opening).await??;
        let ended = Arc::clone(&log);
        tokio::spawn(async move {
            // The streams of the connection learn of its error; the driver has nothing to add.
            let _ = driver.await;
            ended.finish();
            on_end();
        });
        // A replica at its limit of connections, or a dead one behind a live listener, accepts and
        // closes. A request sent on such a connection would look like one that crashed the replica.
        if !time::timeout_at(opened_by, log.settled()).await? {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(Connection { requests, log, opened_at: time::Instant::now() })
    }

    /// Whether new streams may be opened.
    pub(super) fn is_usable(&self) -> bool {
        !self.log.is_finished() && !self.log.is_going_away()
    }
}

async fn connect(addr: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind((source, 0).into())?;
    }
    socket.connect(addr).await
}
