//! Crowd of callers that send part of what they announce and keep their connections open, and what a process and its
//! connections hold meanwhile.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time within which a connection is established: a first packet that found the queue full is repeated after a second.
const CONNECT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which connections are opened.
const OPEN_TIME: Duration = Duration::from_secs(6);
/// Pause when no connection takes further bytes.
const SEND_PAUSE: Duration = Duration::from_millis(5);
/// State of a listening socket in the system's table.
const LISTENING: &str = "0A";

/// What the callers of a crowd send.
#[derive(Clone, Debug, Default)]
pub struct CrowdText {
    /// Text that each connection sends first; `{id}` stands for an id of its own.
    pub head: String,
    /// Text that each connection sends then.
    pub body: Arc<[u8]>,
}

/// Connection of a crowd.
#[derive(Debug)]
struct CrowdConnection {
    stream: TcpStream,
    head: Vec<u8>,
    body: Arc<[u8]>,
    sent: usize,
    is_open: bool,
}

impl CrowdConnection {
    /// Sends what the connection takes. Returns whether that was anything.
    fn send(&mut self) -> bool {
        let (rest, is_head) = match self.head.get(self.sent..) {
            Some(rest) if !rest.is_empty() => (rest, true),
            _ => (&self.body[self.sent - self.head.len()..], false),
        };
        if !self.is_open || (rest.is_empty() && !is_head) {
            return false;
        }
        match self.stream.write(rest) {
            Ok(count) => {
                self.sent += count;
                count > 0
            }
            Err(error) => {
                self.is_open =
                    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted);
                false
            }
        }
    }
}

/// Callers that send a text and keep their connections open until the value is dropped. They read nothing.
#[derive(Debug, Default)]
pub struct CallerCrowd {
    connections: Vec<CrowdConnection>,
}

impl CallerCrowd {
    /// Opens connections, as many as the other side takes in a few seconds.
    pub fn open(address: SocketAddr, count: usize, text: &CrowdText) -> Self {
        let deadline = Instant::now() + OPEN_TIME;
        let numbers = (0..count).take_while(|_| Instant::now() < deadline);
        let connections = numbers.filter_map(|number| {
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIME).ok()?;
            stream.set_nonblocking(true).ok()?;
            let mut connection = CrowdConnection {
                stream,
                head: text.head.replace("{id}", &format!("crowd-{number}")).into(),
                body: text.body.clone(),
                sent: 0,
                is_open: true,
            };
            connection.send();
            Some(connection)
        });
        Self {
            connections: connections.collect(),
        }
    }

    /// Sends on all connections until nothing is left to send or the time is over; calls `observe` meanwhile.
    pub fn send(&mut self, time: Duration, mut observe: impl FnMut()) {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            let mut has_sent = false;
            for connection in &mut self.connections {
                has_sent |= connection.send();
            }
            observe();
            if !has_sent {
                sleep(SEND_PAUSE);
            }
        }
    }

    /// Returns the number of connections that the other side keeps open.
    pub fn open_connections(&mut self) -> usize {
        let mut buffer = [0; 1024];
        let open = self.connections.iter_mut().filter_map(|connection| {
            let ended = loop {
                match connection.stream.read(&mut buffer) {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(error) => break error.kind() != ErrorKind::WouldBlock,
                }
            };
            connection.is_open &= !ended;
            connection.is_open.then_some(())
        });
        open.count()
    }
}

/// Memory and file descriptors of another process, as the operating system tells them.
#[derive(Clone, Debug)]
pub struct ProcessUse {
    folder: PathBuf,
    callers: SocketAddr,
    /// Largest sum of the process's memory and of what lay unread on its callers' connections, in bytes.
    pub peak_bytes: usize,
    /// Largest number of bytes that lay unread on its callers' connections.
    pub peak_unread: usize,
    /// Largest number of open file descriptors.
    pub peak_descriptors: usize,
}

impl ProcessUse {
    /// Creates the record of a process that serves callers at an address.
    pub fn new(process: u32, callers: SocketAddr) -> Self {
        Self {
            folder: PathBuf::from(format!("/proc/{process}")),
            callers,
            peak_bytes: 0,
            peak_unread: 0,
            peak_descriptors: 0,
        }
    }

    /// Records what the process holds now.
    pub fn observe(&mut self) {
        let unread = self.unread_bytes();
        let bytes = self.status_bytes("VmRSS:") + unread;
        // The process's own peak, which an observation may miss.
        let bytes = bytes.max(self.status_bytes("VmHWM:"));
        self.peak_bytes = self.peak_bytes.max(bytes);
        self.peak_unread = self.peak_unread.max(unread);
        self.peak_descriptors = self.peak_descriptors.max(self.descriptors());
    }

    /// Returns the memory of the process in bytes.
    pub fn resident_bytes(&self) -> usize {
        self.status_bytes("VmRSS:")
    }

    fn status_bytes(&self, name: &str) -> usize {
        let status = std::fs::read_to_string(self.folder.join("status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
        kilobytes.unwrap_or_default() * 1024
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(self.folder.join("fd")).map_or(0, Iterator::count)
    }

    /// Returns the bytes that lie unread in the operating system on callers' connections.
    fn unread_bytes(&self) -> usize {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let port = format!(":{:04X}", self.callers.port());
        let queues = table.lines().filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_caller = fields.get(1)?.ends_with(&port) && *fields.get(3)? != LISTENING;
            let queue = fields.get(4)?.split(':').nth(1)?;
            is_caller.then(|| usize::from_str_radix(queue, 16).unwrap_or_default())
        });
        queues.sum()
    }
}

/// Returns a body in chunks of this many bytes, without its last chunk.
pub fn unended_chunks(chunk_bytes: usize, chunks: usize) -> Arc<[u8]> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(chunks).into()
}

/// Calls `request` until it returns true or the time is over. Returns whether it did.
pub fn eventually(time: Duration, mut request: impl FnMut() -> io::Result<bool>) -> bool {
    let deadline = Instant::now() + time;
    loop {
        if request().is_ok_and(|is_answered| is_answered) {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(Duration::from_millis(100));
    }
}
