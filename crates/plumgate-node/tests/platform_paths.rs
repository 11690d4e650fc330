//! Names of any text in the paths of calls to the platform.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};

use percent_encoding::percent_decode_str;
use plumgate_node::SystemClock;
use plumgate_node::platform::PlatformClient;
use quickcheck::QuickCheck;

/// Number of names that are tried.
const NAMES: u64 = 100;

/// Answers each request with 404 and passes its target on.
fn serve() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (targets, received) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = vec![0; 64 * 1024];
            let length = stream.read(&mut request).expect("a request");
            let request = String::from_utf8_lossy(&request[..length]).into_owned();
            let target = request.split(' ').nth(1).unwrap_or_default();
            targets.send(target.to_owned()).expect("a test");
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
    });
    (address, received)
}

/// Guards against calls about another row or object than the one that is named.
#[test]
fn any_name_is_read_back_from_the_path() {
    fn is_read_back(name: String) -> bool {
        let (address, targets) = serve();
        let client = PlatformClient::new(address, SystemClock);
        let object = async_io::block_on(client.read_object(&name));
        let row = async_io::block_on(client.read_row::<u64>("leases", &name));
        let is_missing = matches!((object, row), (Ok(None), Ok(None)));
        ["/objects/", "/table/leases/"].iter().all(|folder| {
            let target = targets.recv().expect("a call");
            let segment = target
                .strip_prefix(folder)
                .filter(|rest| !rest.contains('/'));
            let decoded = segment.and_then(|rest| percent_decode_str(rest).decode_utf8().ok());
            is_missing && decoded.is_some_and(|decoded| decoded == name)
        })
    }
    QuickCheck::new()
        .tests(NAMES)
        .quickcheck(is_read_back as fn(String) -> bool);
}
