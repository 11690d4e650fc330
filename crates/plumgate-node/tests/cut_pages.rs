//! Pages for operators that are cut at each byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use plumgate_node::status::fetch_page_within;

/// Longest time of a read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a page in bytes.
const MAX_BYTES: usize = 1_000;
const PAGE: &str = "one server\nand another\n";

/// Serves one connection with these bytes, then closes it. Returns its address.
fn serve_once(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a request");
        stream.write_all(&bytes).expect("an answer");
    });
    address
}

fn fetch(bytes: &[u8]) -> Option<String> {
    let address = serve_once(bytes.to_vec());
    let reading = fetch_page_within(address, "/servers", MAX_BYTES, TIMEOUT);
    async_io::block_on(reading).ok()
}

/// Guards against a part of a page that operators take for all of it.
#[test]
fn page_that_is_cut_at_any_byte_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    let by_length = format!("{head}Content-Length: {}\r\n\r\n{PAGE}", PAGE.len());
    let (first, rest) = PAGE.split_at(4);
    let by_chunks = format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n4\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n",
        rest.len()
    );
    for whole in [by_length, by_chunks] {
        assert_eq!(fetch(whole.as_bytes()).as_deref(), Some(PAGE));
        for cut in 0..whole.len() {
            assert_eq!(
                fetch(&whole.as_bytes()[..cut]),
                None,
                "cut at {cut}: {whole:?}"
            );
        }
    }
    // Nodes mark the ends of their pages.
    let unmarked = format!("{head}\r\n{PAGE}");
    for cut in 0..=unmarked.len() {
        assert_eq!(
            fetch(&unmarked.as_bytes()[..cut]),
            None,
            "cut at {cut}: {unmarked:?}"
        );
    }
}
