//! Consumers.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Head, read_head};

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// How the answer to a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub received: usize,
    pub is_complete: bool,
    pub has_seal: bool,
}

/// Opens a channel with segments as on an Ethernet link, and a small receive buffer if the consumer reads slowly.
pub fn open(address: SocketAddrV4, receive_buffer: Option<i32>) -> io::Result<TcpStream> {
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let segment = 1460;
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if let Some(bytes) = receive_buffer {
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        }
        let mut name = [0u8; 16];
        name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
        name[2..4].copy_from_slice(&address.port().to_be_bytes());
        name[4..8].copy_from_slice(&address.ip().octets());
        if connect(descriptor, name.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

pub fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("the stand-ins use IPv4"),
    }
}

/// Request of a consumer.
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    /// Bytes that are read of the answer before each pause.
    pub pace: Option<(usize, Duration)>,
}

/// Sends a request on an open channel and reads its answer.
pub fn send(stream: &TcpStream, call: &Call<'_>) -> io::Result<Answer> {
    let deadline = Instant::now() + call.deadline;
    let length = if call.method == "POST" {
        "Content-Length: 4\r\n\r\nbody"
    } else {
        "\r\n"
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Token {}\r\n{length}",
        call.method,
        call.path,
        call.host,
        call.id,
        call.deadline.as_millis(),
        call.key
    );
    let mut writer = stream;
    writer.write_all(text.as_bytes())?;
    stream.set_read_timeout(Some(call.deadline))?;
    let mut reader = BufReader::with_capacity(1024, stream.try_clone()?);
    let Some(head) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(read_answer(&mut reader, &head, call, deadline))
}

fn read_answer(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    call: &Call<'_>,
    deadline: Instant,
) -> Answer {
    let length: usize = head
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut answer = Answer {
        status: head.status(),
        received: 0,
        is_complete: false,
        has_seal: head.header("x-response-seal").is_some(),
    };
    let (step, pause) = call.pace.unwrap_or((64 * 1024, Duration::ZERO));
    let mut buffer = vec![0; step];
    if head.header("transfer-encoding").is_some() {
        let mut last = Vec::new();
        while Instant::now() < deadline {
            match reader.read(&mut buffer) {
                Ok(0) | Err(_) => return answer,
                Ok(count) => {
                    answer.received += count;
                    last.extend_from_slice(&buffer[..count]);
                    let surplus = last.len().saturating_sub(7);
                    last.drain(..surplus);
                }
            }
            if last == b"\r\n0\r\n\r\n" {
                answer.is_complete = true;
                return answer;
            }
            std::thread::sleep(pause);
        }
        return answer;
    }
    while answer.received < length && Instant::now() < deadline {
        let wanted = step.min(length - answer.received);
        match reader.read(&mut buffer[..wanted]) {
            Ok(0) | Err(_) => return answer,
            Ok(count) => answer.received += count,
        }
        std::thread::sleep(pause);
    }
    answer.is_complete = answer.received == length;
    answer
}

/// Sends a request on an open channel and returns all that is read until the end of the channel or of a body in
/// chunks.
pub fn send_for_text(stream: &TcpStream, call: &Call<'_>) -> io::Result<String> {
    send_until(stream, call, "", None)
}

/// The same with further headers. The consumer leaves once it has read an event and `until` is set.
pub fn send_until(
    mut stream: &TcpStream,
    call: &Call<'_>,
    headers: &str,
    until: Option<&AtomicBool>,
) -> io::Result<String> {
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Token {}\r\n{headers}Content-Length: 4\r\n\r\nbody",
        call.method,
        call.path,
        call.host,
        call.id,
        call.deadline.as_millis(),
        call.key
    );
    stream.write_all(text.as_bytes())?;
    stream.set_read_timeout(Some(call.deadline))?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let has_event = received.windows(5).any(|bytes| bytes == b"data:");
        let leaves = has_event && until.is_some_and(|until| until.load(Ordering::SeqCst));
        let is_refusal = received.starts_with(b"HTTP/1.1 5") && received.ends_with(b"}}");
        if leaves || is_refusal || received.ends_with(b"\r\n0\r\n\r\n") {
            break;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(String::from_utf8_lossy(&received).into_owned())
}
