//! Requests and answers of HTTP/1.1, as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head of a message: its first line and its headers, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head
        .header("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Returns a value of a query, decoded.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let value = query.split('&').find_map(|pair| {
        let (known, value) = pair.split_once('=')?;
        (known == name).then_some(value)
    })?;
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next()?, rest.next()?];
            let digits = std::str::from_utf8(&digits).ok()?.to_owned();
            bytes.push(u8::from_str_radix(&digits, 16).ok()?);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok()
}
