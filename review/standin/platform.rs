//! Stand-ins for the users' platform, on the standard library alone: metadata store, backend servers, callers, and
//! processes of the daemon. They follow PROTOCOL.md and DEPLOY.md as far as the cases need them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<std::fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        Self { lines: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn write(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- HTTP

/// Head of a message and the bytes that were read behind it.
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
}

/// Reads the head of a message; `None` if the peer closes before it is complete.
pub fn read_head(stream: &mut TcpStream, mut buffer: Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let fields = lines.filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.trim().to_owned(), value.trim().to_owned()))
            });
            return Some(Head { first, fields: fields.collect(), rest: buffer[end + 4..].to_vec() });
        }
        let mut bytes = [0; 8192];
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}

/// Reads a body with a length. Returns it and the bytes behind it.
pub fn read_body(stream: &mut TcpStream, head: &Head) -> Option<(Vec<u8>, Vec<u8>)> {
    read_body_slowly(stream, head, Duration::ZERO)
}

/// Reads a body with a length, and pauses after each read of up to 64 KiB.
pub fn read_body_slowly(stream: &mut TcpStream, head: &Head, pause: Duration) -> Option<(Vec<u8>, Vec<u8>)> {
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
    let mut body = head.rest.clone();
    while body.len() < length {
        let mut bytes = [0; 65536];
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(count) => body.extend_from_slice(&bytes[..count]),
        }
        if !pause.is_zero() {
            thread::sleep(pause);
        }
    }
    let rest = body.split_off(length);
    Some((body, rest))
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(field, _)| field == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    self.space();
                    let name = self.string()?;
                    self.take(b':').then_some(())?;
                    fields.push((name, self.value()?));
                    self.take(b',');
                }
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !self.take(b']') {
                    items.push(self.value()?);
                    self.take(b',');
                }
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"').then_some(())?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    self.at += 1;
                    let escaped = *self.bytes.get(self.at)?;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                    self.at += 1;
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| (sum << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(number >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Change {
    version: u64,
    table: String,
    part: String,
    key: String,
    value: Option<String>,
}

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String, String), (String, u64)>,
    history: Vec<Change>,
}

impl Rows {
    fn apply(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        let version = self.version;
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows.insert(name, (value.clone(), version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        let (table, part, key) = (table.to_owned(), part.to_owned(), key.to_owned());
        self.history.push(Change { version, table, part, key, value });
    }
}

/// Metadata store of the platform.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    pub address: SocketAddr,
    start: Instant,
    /// Number of times that the store came back from a copy.
    era: Arc<AtomicU64>,
    is_away: Arc<AtomicBool>,
}

/// Copy of a store.
pub struct StoreCopy(Rows);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr().unwrap(),
            start: Instant::now(),
            era: Arc::default(),
            is_away: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().clone())
    }

    /// Is away for a moment and comes back from a copy, as in a drill.
    pub fn restore(&self, copy: StoreCopy, away: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        self.state.1.notify_all();
        thread::sleep(away);
        *self.state.0.lock().unwrap() = copy.0;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    /// Writes a row as the operator or a server does. Returns its version.
    pub fn put(&self, table: &str, key: &str, json: &str) -> u64 {
        let mut rows = self.state.0.lock().unwrap();
        rows.version += 1;
        rows.apply(table, "", key, Some(base64(json.as_bytes())));
        self.state.1.notify_all();
        rows.version
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.state.0.lock().unwrap();
        rows.version += 1;
        rows.apply(table, "", key, None);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(head) = read_head(&mut stream, std::mem::take(&mut rest)) {
            let Some((body, behind)) = read_body(&mut stream, &head) else { return };
            rest = behind;
            // What the sheets give as the time of an answer.
            thread::sleep(Duration::from_millis(4));
            let era = self.era.load(Ordering::SeqCst);
            let (status, text) = self.answer(&head, &body);
            let is_gone = self.is_away.load(Ordering::SeqCst) || era != self.era.load(Ordering::SeqCst);
            if is_gone {
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
        };
        match path {
            "/rows-get" => self.get(&field("table"), &field("part"), &field("from"), &field("limit")),
            "/rows-feed" => {
                let since = field("sinceRev").parse().unwrap_or(0);
                let wait = field("waitMs").parse().unwrap_or(0);
                self.feed(&field("table"), since, Duration::from_millis(wait))
            }
            "/rows-tx" => self.transact(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn get(&self, table: &str, part: &str, from: &str, limit: &str) -> (u16, String) {
        let limit = limit.parse().unwrap_or(500usize).min(500);
        let rows = self.state.0.lock().unwrap();
        let found = rows.rows.iter().filter(|((of, in_part, key), _)| of == table && in_part == part && key.as_str() >= from);
        let mut texts: Vec<String> = found
            .map(|((table, part, key), (value, version))| row_text(table, part, key, Some(value), *version))
            .collect();
        let has_more = texts.len() > limit;
        texts.truncate(limit);
        (200, rows_text(&texts, has_more, rows.version, self.now_ms()))
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut rows = self.state.0.lock().unwrap();
        if since > rows.version {
            return (410, "{}".to_owned());
        }
        loop {
            let changes = rows.history.iter().filter(|change| change.version > since && change.table == table);
            let texts: Vec<String> = changes
                .map(|change| row_text(&change.table, &change.part, &change.key, change.value.as_ref(), change.version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() || self.is_away.load(Ordering::SeqCst) {
                return (200, rows_text(&texts, false, rows.version, self.now_ms()));
            }
            rows = self.state.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(request) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let name = |row: &Json| {
            let text = |field: &str| row.get(field).map(|value| value.text().to_owned()).unwrap_or_default();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.state.0.lock().unwrap();
        for condition in request.get("ifRev").map(Json::list).unwrap_or_default() {
            let version = rows.rows.get(&name(condition)).map_or(0, |(_, version)| *version);
            if version as f64 != condition.get("ver").map_or(0.0, Json::number) {
                return (412, rows_text(&[], false, rows.version, self.now_ms()));
            }
        }
        rows.version += 1;
        for row in request.get("put").map(Json::list).unwrap_or_default() {
            let (table, part, key) = name(row);
            let value = row.get("value").map(|value| value.text().to_owned());
            rows.apply(&table, &part, &key, value.or(Some(String::new())));
        }
        for row in request.get("remove").map(Json::list).unwrap_or_default() {
            let (table, part, key) = name(row);
            rows.apply(&table, &part, &key, None);
        }
        self.state.1.notify_all();
        (200, format!("{{\"ver\":{},\"nowMs\":{}}}", rows.version, self.now_ms()))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut left = text.as_bytes();
    while let Some((first, rest)) = left.split_first() {
        if *first == b'%' && rest.len() >= 2 {
            let digits = std::str::from_utf8(&rest[..2]).unwrap_or("00");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            left = &rest[2..];
        } else {
            bytes.push(*first);
            left = rest;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn row_text(table: &str, part: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn rows_text(rows: &[String], has_more: bool, version: u64, now_ms: u128) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{version},\"nowMs\":{now_ms}}}")
}

// ---------------------------------------------------------------- servers

/// How a server answers.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Number of events of a stream; 0 for an answer in one piece.
    pub events: u32,
    pub first: Duration,
    pub pause: Duration,
}

/// Server that runs each request at a fixed pace, and drops one whose channel closes.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub pace: Pace,
    record: Record,
    /// Runs, by the id of the consumer's attempt: the number that began.
    pub runs: Arc<Mutex<BTreeMap<String, u32>>>,
    pub is_up: Arc<AtomicBool>,
    /// Pause in milliseconds after each read of up to 64 KiB of a body.
    pub read_pause_ms: Arc<AtomicU64>,
    /// Attempts whose heads have arrived.
    pub arrived: Arc<Mutex<Vec<String>>>,
    sequence: Arc<AtomicU64>,
}

impl Server {
    pub fn start(id: &str, pace: Pace, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            pace,
            record: record.clone(),
            runs: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            read_pause_ms: Arc::default(),
            arrived: Arc::default(),
            sequence: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Registers the server, and writes its entry every 1.2 s from then on.
    pub fn register(&self, store: &Store, service: &str, zone: &str, slots: u32) {
        let (server, store) = (self.clone(), store.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        let write = move || {
            let sequence = server.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
                server.address
            );
            // The entry changes in the store when more than `sequence` changes.
            if sequence == 1 {
                store.put("servers", &server.id, &entry);
            }
        };
        write();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(head) = read_head(&mut stream, std::mem::take(&mut rest)) {
            if let Some(id) = head.get("x-attempt-id") {
                self.arrived.lock().unwrap().push(id.to_owned());
            }
            let pause = Duration::from_millis(self.read_pause_ms.load(Ordering::SeqCst));
            let Some((body, behind)) = read_body_slowly(&mut stream, &head, pause) else { return };
            rest = behind;
            if self.answer(&mut stream, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or("").to_owned();
        if head.target() == "/health" {
            return write!(stream, "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        if head.get("x-expect-instance").is_some_and(|wanted| wanted != self.id) {
            return write!(stream, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        if id.is_empty() {
            return write!(stream, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.record.write(format!("server {} runs {id} ({} bytes of body)", self.id, body.len()));
        let result = self.run(stream, &id, body.len());
        let end = if result.is_ok() { "to its end" } else { "until its channel closed" };
        self.record.write(format!("server {} ran {id} {end}", self.id));
        result
    }

    fn run(&self, stream: &mut TcpStream, id: &str, size: usize) -> std::io::Result<()> {
        thread::sleep(self.pace.first);
        let seal = format!("seal.{id}");
        if self.pace.events == 0 {
            let text = format!("{{\"done\":\"{id}\",\"size\":{size}}}");
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {seal}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {seal}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in 1..=self.pace.events {
            if number > 1 {
                thread::sleep(self.pace.pause);
            }
            let event = format!("id: {number}\ndata: piece {number} of {}\n\n", self.pace.events);
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        write!(stream, "0\r\n\r\n")
    }
}

// ---------------------------------------------------------------- callers

/// What a caller received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if no head arrived.
    pub status: u16,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
    pub events: u32,
    pub bytes: usize,
    pub body: Vec<u8>,
}

/// Sends one request on a channel and reads the answer.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> Answer {
    let mut answer = Answer::default();
    if stream.write_all(request).is_err() {
        return answer;
    }
    read_answer(stream, &mut answer);
    answer
}

pub fn read_answer(stream: &mut TcpStream, answer: &mut Answer) {
    let Some(head) = read_head(stream, Vec::new()) else { return };
    answer.status = head.status();
    let is_chunked = head.get("transfer-encoding").is_some();
    let mut bytes = head.rest.clone();
    let length: usize = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    loop {
        let body = if is_chunked { dechunk(&bytes) } else { (bytes.clone(), bytes.len() >= length) };
        answer.body = body.0;
        answer.is_complete = body.1;
        answer.bytes = answer.body.len();
        answer.events = answer.body.windows(2).filter(|pair| *pair == b"\n\n").count() as u32;
        if answer.is_complete {
            return;
        }
        let mut buffer = [0; 8192];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Decodes chunks; the second value tells whether the last one has arrived.
fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else { return (body, false) };
        let size = std::str::from_utf8(&bytes[..end]).ok().and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
        let Some(size) = size else { return (body, false) };
        if size == 0 {
            return (body, bytes.len() >= end + 4);
        }
        let from = end + 2;
        if bytes.len() < from + size + 2 {
            body.extend_from_slice(&bytes[from.min(bytes.len())..(from + size).min(bytes.len())]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[from..from + size]);
        bytes = &bytes[from + size + 2..];
    }
}

// ---------------------------------------------------------------- daemon

/// Ports and names of one node.
#[derive(Clone)]
pub struct NodePlan {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: u16,
    pub peers: (u16, u16),
    pub memory_mb: u32,
}

/// Returns a port that is free for TCP and UDP, below those that the system gives to outgoing connections, so that none
/// of these takes it before its process has started.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let start = u64::from(std::process::id()) * 97;
    loop {
        let port = 12_000 + ((start + NEXT.fetch_add(1, Ordering::SeqCst)) % 18_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

impl NodePlan {
    pub fn new(name: &str, zone: &str) -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let first = free_port();
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: address(free_port()),
            ready: address(free_port()),
            metrics: free_port(),
            peers: (first, first + 1),
            memory_mb: 110,
        }
    }

    /// Settings file as DEPLOY.md shows it, with the bounds of the small installation.
    pub fn settings(&self, store: &Store) -> String {
        let zones = "zones.hall-a=tx-central\nzones.hall-b=tx-central\nzones.hall-c=tx-central";
        format!(
            "nodeName={name}\nrole=gateway\nmachineClass=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\nregion=tx-central\n{zones}\n\
             listen.front={front}\nlisten.ready={ready}\ninternalPorts={first},{last}\nseedNodes=\nbootstrap=true\nlossCounts=false\n\
             limits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb={memory}\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n\
             discovery=platform\nentry=vip\nheartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.syncTimeS=4\nbounds.drainMs=2000\n\
             bounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n\
             bounds.revokeStrict=true\nbounds.revokeMs=5000\nbounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetExtra=52\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=9\nplatform.address={store}\nplatform.form=table\n\
             platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.txMs=3.0\nplatform.partWritesS=300\nplatform.rowBytes=65536\n\
             platform.across=true\nplatform.historyS=20\n",
            name = self.name,
            zone = self.zone,
            front = self.front,
            ready = self.ready,
            first = self.peers.0,
            last = self.peers.1,
            memory = self.memory_mb,
            store = store.address,
        )
    }
}

/// Process of the daemon, started as the deploy file says.
pub struct Node {
    pub plan: NodePlan,
    pub child: Child,
}

impl Node {
    pub fn start(plan: &NodePlan, store: &Store, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.conf", plan.name));
        std::fs::write(&settings, plan.settings(store)).expect("settings");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{}.log", plan.name)));
        let log = log.expect("a log");
        let child = Command::new("target/release/plumgated")
            .args(["gateway", "--metrics-port", &plan.metrics.to_string()])
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())))
            .env("PLUMGATE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        Self { plan: plan.clone(), child: child.expect("the daemon is built") }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Asks for readiness as the platform does; `None` if nothing answers.
    pub fn ready_status(&self) -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&self.plan.ready, Duration::from_millis(300)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").ok()?;
        read_head(&mut stream, Vec::new()).map(|head| head.status())
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.ready_status() == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until the process has ended; returns whether it has.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(_)) = self.child.try_wait() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------- the small installation

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const STREAM_PATH: &str = "/lohu930/2f";
pub const ONCE_PATH: &str = "/puxa403/2f";
pub const REPEAT_PATH: &str = "/cufi504/2f";

/// Configuration with a route of each kind, as `wire` shows it.
pub fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, prefix: &str, kind: &str, timeout: u32, target: u32, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":0,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false{more}}}"
        )
    };
    let routes = [
        route("r-stream", "/lohu930/", "streaming", 10000, 300, "models", 1, ",\"sticky\":true,\"streamResume\":false,\"gapAimMs\":250"),
        route("r-once", "/puxa403/", "non_idempotent", 10000, 150, "portal", 1, ",\"sticky\":false,\"streamResume\":false"),
        route("r-repeat", "/cufi504/", "idempotent", 1000, 150, "portal", 2, ",\"sticky\":false,\"streamResume\":false"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"models\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"portal\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// Request as a consumer sends it.
pub fn request(id: &str, path: &str, deadline_ms: u32, more: &str, body: &[u8]) -> Vec<u8> {
    let method = if path == REPEAT_PATH { "GET" } else { "POST" };
    let prompt = if path == STREAM_PATH {
        format!("X-Model: m\r\nX-Token-Usage: 400,200\r\nX-Prompt-Prefix: 5c1e07a2:300,{id}:100\r\n")
    } else {
        String::new()
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{prompt}{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Arguments of a case: its folder, and whether the disruption happens.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

impl Case {
    pub fn from_args() -> Self {
        let folder = std::env::args().nth(1).expect("the folder of the case");
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let temporary = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix.subsec_nanos()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let record = Record::create(&Path::new(&folder).join("record.txt"));
        record.write(format!("trouble={has_trouble}"));
        Self { record, folder: temporary, has_trouble }
    }

    /// Ends with the result: 0 held, 1 broken, 2 could not run.
    pub fn end(self, result: Result<bool, String>) -> ! {
        let code = match result {
            Ok(true) => 0,
            Ok(false) => 1,
            Err(why) => {
                self.record.write(format!("could not run: {why}"));
                2
            }
        };
        self.record.write(format!("exit {code}"));
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code)
    }
}
