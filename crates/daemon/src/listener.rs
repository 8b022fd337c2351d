//! Listeners of the process.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use socket2::{Domain, Protocol, Socket, Type};

/// Number of connections that wait to be accepted. All clients of an instance connect at once after a restart or
/// when they are moved, and a connection beyond the queue is only tried again after a second. The kernel caps it
/// at a limit of its own (`net.core.somaxconn`).
const QUEUE_LEN: i32 = 4_096;

/// Opens a non-blocking listener.
///
/// # Errors
///
/// Fails when the address cannot be bound.
///
/// # Examples
///
/// ```
/// let listener = rosemarybank_daemon::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
/// let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// assert_eq!(stream.local_addr().unwrap(), listener.accept().unwrap().1);
/// ```
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process binds its port while old connections on it are still being closed.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(QUEUE_LEN)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
