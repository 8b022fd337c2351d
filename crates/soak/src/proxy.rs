//! TCP proxy on loopback that injects link faults.

use std::{
    io::{self, ErrorKind, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use socket2::SockRef;

/// Interval at which blocked threads check the current fault.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Forwards all data.
    #[default]
    None,
    /// Forwards all data after a delay.
    Delay(Duration),
    /// Resets connections.
    Reset,
    /// Forwards no data in either direction, and keeps connections open.
    Silent,
    /// Forwards no data to the client.
    NoReplies,
    /// Forwards no data to the target.
    NoRequests,
}

/// A proxy in front of a target address.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Proxy { addr: listener.local_addr()?, fault: Arc::default() };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = acceptor.clone();
                // If the target is unreachable, dropping the stream closes the client's connection.
                thread::spawn(move || drop(proxy.forward(stream, target)));
            }
        });
        Ok(proxy)
    }

    /// Returns the address of the proxy.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the current fault, which also applies to open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (reply_from, reply_to) = (server.try_clone()?, client.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || drop(proxy.copy(reply_from, reply_to, Direction::ToClient)));
        self.copy(client, server, Direction::ToTarget)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) -> io::Result<()> {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut chunk = [0; 16 << 10];
        let result = loop {
            if self.fault() == LinkFault::Reset {
                // With a linger time of zero, closing the socket sends a reset.
                SockRef::from(&from).set_linger(Some(Duration::ZERO))?;
                SockRef::from(&to).set_linger(Some(Duration::ZERO))?;
                break Ok(());
            }
            match from.read(&mut chunk) {
                Ok(0) => break Ok(()),
                Ok(len) => {
                    if !self.wait_until_passable(direction) {
                        continue;
                    }
                    if let Err(err) = to.write_all(&chunk[..len]) {
                        break Err(err);
                    }
                }
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(err) => break Err(err),
            }
        };
        // Shutdown fails if a socket is closed already, which is harmless.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
        result
    }

    /// Waits while the current fault blocks this direction. Returns whether the data is to be
    /// forwarded; a reset discards it.
    fn wait_until_passable(&self, direction: Direction) -> bool {
        loop {
            match (self.fault(), direction) {
                (LinkFault::Reset, _) => return false,
                (LinkFault::Delay(time), _) => {
                    thread::sleep(time);
                    return true;
                }
                (LinkFault::Silent, _)
                | (LinkFault::NoReplies, Direction::ToClient)
                | (LinkFault::NoRequests, Direction::ToTarget) => thread::sleep(POLL_INTERVAL),
                _ => return true,
            }
        }
    }
}
