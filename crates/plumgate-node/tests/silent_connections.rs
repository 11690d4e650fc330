//! When connections end whose peers have fallen silent, and those whose peers read slowly.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use plumgate_node::http::{
    KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, MAX_UNACKNOWLEDGED_TIME, set_keepalive_options,
    set_liveness_options,
};
use socket2::SockRef;

/// Silence of a sound server, and some more.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);

fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    let (peer, _) = listener.accept().expect("a peer");
    (stream, peer)
}

/// Writes until the peer's window is full, and returns the number of bytes.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_nonblocking(true).expect("an option");
    let chunk = [7; 64 * 1024];
    let mut written = 0;
    let mut blocked_at = None;
    loop {
        match stream.write(&chunk) {
            Ok(count) => {
                written += count;
                blocked_at = None;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let since = *blocked_at.get_or_insert_with(Instant::now);
                if since.elapsed() > Duration::from_millis(300) {
                    return written;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            Err(error) => panic!("after {written} bytes: {error}"),
        }
    }
}

/// Guards against a user timeout that ends the keep-alive probes before their count, so that a sound server that is
/// silent for a second loses its connections.
#[test]
fn probes_give_up_when_their_count_says_and_after_the_silence_of_a_sound_server() {
    let (stream, _peer) = connection();
    set_liveness_options(&stream).expect("options");
    let socket = SockRef::from(&stream);
    let idle = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    let user_timeout = socket.tcp_user_timeout().expect("an option");
    assert_eq!((idle, interval), (KEEPALIVE_INTERVAL, KEEPALIVE_INTERVAL));
    assert_eq!(probes, KEEPALIVE_PROBES);
    assert_eq!(user_timeout, Some(MAX_UNACKNOWLEDGED_TIME));
    // The kernel drops the connection at the first probe that is due after the user timeout.
    assert_eq!(MAX_UNACKNOWLEDGED_TIME, idle + interval * probes);
    assert!(MAX_UNACKNOWLEDGED_TIME - idle > SOUND_SILENCE);
}

/// Guards against a forwarded answer that breaks because its caller reads nothing for some seconds.
#[test]
fn slow_reader_does_not_break_a_forwarded_stream() {
    let (mut stream, mut peer) = connection();
    set_keepalive_options(&stream).expect("options");
    let written = fill(&mut stream);
    std::thread::sleep(MAX_UNACKNOWLEDGED_TIME + Duration::from_secs(2));
    let reading = std::thread::spawn(move || {
        let mut received = vec![0; written];
        peer.read_exact(&mut received).map(|()| peer)
    });
    reading.join().expect("a reader").expect("all bytes");
    stream.set_nonblocking(false).expect("an option");
    stream.write_all(b"more").expect("the connection is open");
}

/// Guards against a connection to a server that takes no bytes and is kept for longer than its constant says.
#[test]
fn peer_that_reads_nothing_breaks_a_connection_with_a_user_timeout() {
    let (mut stream, _peer) = connection();
    set_liveness_options(&stream).expect("options");
    fill(&mut stream);
    std::thread::sleep(MAX_UNACKNOWLEDGED_TIME + Duration::from_secs(3));
    let error = SockRef::from(&stream).take_error().expect("an option");
    let written = stream.write(b"more");
    assert!(error.is_some() || written.is_err(), "{written:?}");
}
