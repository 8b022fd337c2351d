//! A loopback proxy whose connections fail on purpose.

use std::{
    io::{self, ErrorKind, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use socket2::SockRef;

/// Time after which a waiting thread looks at the fault again.
const LOOK: Duration = Duration::from_millis(25);

/// What a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// It passes everything on.
    #[default]
    None,
    /// It passes everything on after a time.
    Delay(Duration),
    /// It resets connections.
    Reset,
    /// It passes nothing on, and says nothing.
    Silent,
    /// It passes on nothing that comes back.
    NoReplies,
    /// It passes on nothing that goes out.
    NoRequests,
}

/// A proxy in front of an address.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Out,
    Back,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Proxy { addr: listener.local_addr()?, fault: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                // A target that can't be reached closes the connection, which is what a client sees.
                thread::spawn(move || drop(proxy.join(stream, target)));
            }
        });
        Ok(proxy)
    }

    /// Its address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (back_from, back_to) = (server.try_clone()?, client.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || drop(proxy.pump(back_from, back_to, Direction::Back)));
        self.pump(client, server, Direction::Out)
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, way: Direction) -> io::Result<()> {
        from.set_read_timeout(Some(LOOK))?;
        let mut chunk = [0; 16 << 10];
        let result = loop {
            if self.fault() == LinkFault::Reset {
                // Without lingering, closing sends a reset.
                SockRef::from(&from).set_linger(Some(Duration::ZERO))?;
                SockRef::from(&to).set_linger(Some(Duration::ZERO))?;
                break Ok(());
            }
            match from.read(&mut chunk) {
                Ok(0) => break Ok(()),
                Ok(len) => {
                    if !self.wait_for_passage(way) {
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
        // Either end may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
        result
    }

    /// Waits while the link holds bytes back. Returns whether they go on: a reset drops them.
    fn wait_for_passage(&self, way: Direction) -> bool {
        loop {
            match (self.fault(), way) {
                (LinkFault::Reset, _) => return false,
                (LinkFault::Delay(time), _) => {
                    thread::sleep(time);
                    return true;
                }
                (LinkFault::Silent, _)
                | (LinkFault::NoReplies, Direction::Back)
                | (LinkFault::NoRequests, Direction::Out) => thread::sleep(LOOK),
                _ => return true,
            }
        }
    }
}
