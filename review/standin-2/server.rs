//! Stand-in for a backend server of a service without streams.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Head, read_body, read_head, write_answer};

/// Run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
}

/// What a server answers.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    pub after: Duration,
    pub bytes: usize,
    /// Number of events of a stream and the pause before each; without it the answer is plain.
    pub events: Option<(u32, Duration)>,
    /// Time between the two halves of an answer without a length, which ends with its channel.
    pub unframed: Option<Duration>,
}

/// Server of one case.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Slots that its entry states.
    pub slots: u32,
    /// Version of its software, which each event names.
    pub version: Arc<Mutex<&'static str>>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Connections of the current incarnation.
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
    reply: fn(&Head) -> Reply,
}

impl Server {
    /// Starts a server whose reply depends on the head of a request.
    pub fn start(id: &str, slots: u32, reply: fn(&Head) -> Reply) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            slots,
            version: Arc::new(Mutex::new("v1")),
            runs: Arc::default(),
            open: Arc::default(),
            is_down: Arc::default(),
            reply,
        };
        server.listen(listener);
        Ok(server)
    }

    fn listen(&self, listener: TcpListener) {
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_down.load(Ordering::SeqCst) {
                    // Closes the listener: further connections are refused.
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.open.lock().unwrap().push(copy);
                }
                let server = serving.clone();
                let builder = std::thread::Builder::new().stack_size(256 * 1024);
                let _ = builder.spawn(move || server.serve(stream));
            }
        });
    }

    /// Ends the process: all its connections break, and new ones are refused.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts the process again at its address.
    pub fn restart(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.is_down.store(false, Ordering::SeqCst);
        self.listen(listener);
        Ok(())
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the entry in the store.
    pub fn entry(
        &self,
        service: &str,
        zone: &str,
        state: &str,
        sequence: u64,
        rest: &str,
    ) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{},"state":"{state}","coldRemainingMs":0,"sequence":{sequence}{rest}}}"#,
            self.address, self.slots
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(_) = read_body(&mut reader, &head) else {
                return;
            };
            let expected = head.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let named = format!("X-Instance-Id: {}\r\n", self.id);
                if write_answer(&mut writer, "421 Misdirected Request", &named, b"").is_err() {
                    return;
                }
                continue;
            }
            let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
            self.runs.lock().unwrap().push(Run { id: id.clone() });
            let reply = (self.reply)(&head);
            std::thread::sleep(reply.after);
            let headers = format!(
                "X-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}\r\nContent-Type: application/octet-stream\r\nKeep-Alive: timeout=20\r\n"
            );
            if let Some(pause) = reply.unframed {
                let _ = write_unframed(&mut writer, &headers, reply.bytes, pause);
                return;
            }
            let written = match reply.events {
                Some(events) => {
                    let version = *self.version.lock().unwrap();
                    write_stream(&mut writer, &id, version, read_resumed(&head), events)
                }
                None => write_answer(&mut writer, "200 OK", &headers, &vec![b'x'; reply.bytes]),
            };
            if written.is_err() {
                return;
            }
        }
    }
}

/// Returns the number of the last event that the consumer has; 0 for a new stream.
fn read_resumed(head: &Head) -> u32 {
    let number = head
        .header("last-event-id")
        .and_then(|number| number.parse().ok());
    number.unwrap_or(0)
}

/// Writes the events of a stream after a number, in chunks.
fn write_stream(
    stream: &mut TcpStream,
    id: &str,
    version: &str,
    after: u32,
    (events, pause): (u32, Duration),
) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in after + 1..=events {
        std::thread::sleep(pause);
        let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Writes an answer without a length in two halves; the end of the channel is its end.
fn write_unframed(
    stream: &mut TcpStream,
    headers: &str,
    bytes: usize,
    pause: Duration,
) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n"
    )?;
    stream.write_all(&vec![b'x'; bytes / 2])?;
    std::thread::sleep(pause);
    stream.write_all(&vec![b'x'; bytes - bytes / 2])?;
    stream.shutdown(std::net::Shutdown::Write)
}
