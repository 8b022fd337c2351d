//! Many clients at once that send part of a request or do not read their responses.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Time after which a client gives up a write that the instance does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a client waits for further bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections of clients that have sent their messages and stay open.
#[derive(Debug)]
pub struct Crowd {
    members: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Opens `size` connections at once. Each sends the message that `message` returns for its number,
    /// in pieces of `piece` bytes. Returns when all have sent what the instance takes.
    #[must_use]
    pub fn send(
        addr: SocketAddr,
        size: usize,
        piece: usize,
        message: impl Fn(usize) -> Vec<u8> + Sync,
    ) -> Crowd {
        let members = thread::scope(|scope| {
            let message = &message;
            let start = |number| {
                scope.spawn(move || {
                    let mut stream = connect(addr).ok()?;
                    for it in message(number).chunks(piece) {
                        // The instance may close the connection or stop reading.
                        if stream.write_all(it).is_err() {
                            break;
                        }
                    }
                    Some(stream)
                })
            };
            let threads: Vec<_> = (0..size).map(start).collect();
            threads.into_iter().map(|it| it.join().unwrap_or_default()).collect()
        });
        Crowd { members }
    }

    /// Reads what each member has received so far, in the order of their numbers.
    #[must_use]
    pub fn received(&mut self) -> Vec<String> {
        thread::scope(|scope| {
            let read = |member| scope.spawn(move || receive(member));
            let threads: Vec<_> = self.members.iter_mut().map(read).collect();
            threads.into_iter().map(|it| it.join().unwrap_or_default()).collect()
        })
    }
}

fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, WRITE_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

fn receive(member: &mut Option<TcpStream>) -> String {
    let Some(stream) = member else { return String::new() };
    let mut bytes = Vec::new();
    // The read ends with a timeout while the connection is open.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
