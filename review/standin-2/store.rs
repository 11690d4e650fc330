//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{query, read_body, read_head, write_answer};
use crate::json::{Json, from_base64, to_base64};

type RowName = (String, String, String);

#[derive(Default)]
struct State {
    /// Rows with the version of their last change; a removed row has no value.
    rows: BTreeMap<RowName, (Option<Vec<u8>>, u64)>,
    version: u64,
}

/// Store of one case.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    began: Instant,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr()?,
            began: Instant::now(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes or removes a row, and returns its version.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(name, value.map(|value| value.as_bytes().to_vec()))])
    }

    fn write(&self, rows: Vec<(RowName, Option<Vec<u8>>)>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (name, value) in rows {
            state.rows.insert(name, (value, version));
        }
        changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let (status, answer) = self.answer(head.target(), &body);
            let json = "Content-Type: application/json\r\n";
            if write_answer(&mut writer, status, json, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (&'static str, String) {
        let now = self.began.elapsed().as_millis();
        let table = query(target, "table").unwrap_or_default();
        let number = |name| query(target, name).and_then(|value| value.parse::<u64>().ok());
        match target.split('?').next().unwrap_or_default() {
            "/rows-get" => {
                let part = query(target, "part").unwrap_or_default();
                let from = query(target, "from").unwrap_or_default();
                let to = query(target, "to");
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                let state = self.state.0.lock().unwrap();
                let rows = state
                    .rows
                    .iter()
                    .filter(|((of, in_part, key), (value, _))| {
                        let is_before = to.as_ref().is_none_or(|to| key < to);
                        *of == table
                            && *in_part == part
                            && *key >= from
                            && is_before
                            && value.is_some()
                    });
                let rows: Vec<String> = rows.map(|(name, row)| row_text(name, row)).collect();
                let shown = rows.len().min(limit);
                let more = rows.len() > limit;
                let text = rows[..shown].join(",");
                let version = state.version;
                (
                    "200 OK",
                    format!(
                        r#"{{"rows":[{text}],"hasMore":{more},"ver":{version},"nowMs":{now}}}"#
                    ),
                )
            }
            "/rows-feed" => {
                let since = number("sinceRev").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                let (state, changed) = &*self.state;
                let mut state = state.lock().unwrap();
                loop {
                    let mut rows: Vec<_> = state
                        .rows
                        .iter()
                        .filter(|((of, _, _), (_, version))| *of == table && *version > since)
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        rows.sort_by_key(|(_, (_, version))| *version);
                        let rows: Vec<String> =
                            rows.iter().map(|(name, row)| row_text(name, row)).collect();
                        let (text, version) = (rows.join(","), state.version);
                        return (
                            "200 OK",
                            format!(r#"{{"rows":[{text}],"ver":{version},"nowMs":{now}}}"#),
                        );
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/rows-tx" => {
                let text = String::from_utf8_lossy(body);
                let Some(call) = Json::read(&text) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let name = |row: &Json| {
                    let text = |name| row.get(name).text().to_owned();
                    (text("table"), text("part"), text("key"))
                };
                let lists = [call.get("put"), call.get("remove")];
                let names = || lists.iter().flat_map(|list| list.list()).map(name);
                if names().any(|(table, ..)| table == "op" || table == "servers") {
                    return ("403 Forbidden", "{}".to_owned());
                }
                {
                    let state = self.state.0.lock().unwrap();
                    let holds = call.get("ifRev").list().iter().all(|row| {
                        let known = state
                            .rows
                            .get(&name(row))
                            .filter(|(value, _)| value.is_some());
                        known.map_or(0, |(_, version)| *version) == row.get("ver").number()
                    });
                    if !holds {
                        let rows = call.get("ifRev").list().iter().filter_map(|row| {
                            let name = name(row);
                            let known =
                                state.rows.get(&name).filter(|(value, _)| value.is_some())?;
                            Some(row_text(&name, known))
                        });
                        let rows: Vec<String> = rows.collect();
                        let (text, version) = (rows.join(","), state.version);
                        return (
                            "412 Precondition Failed",
                            format!(r#"{{"rows":[{text}],"ver":{version},"nowMs":{now}}}"#),
                        );
                    }
                }
                let put = call
                    .get("put")
                    .list()
                    .iter()
                    .map(|row| (name(row), Some(from_base64(row.get("value").text()))));
                let remove = call
                    .get("remove")
                    .list()
                    .iter()
                    .map(|row| (name(row), None));
                let version = self.write(put.chain(remove).collect());
                ("200 OK", format!(r#"{{"ver":{version},"nowMs":{now}}}"#))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn row_text((table, part, key): &RowName, (value, version): &(Option<Vec<u8>>, u64)) -> String {
    let rest = match value {
        Some(value) => format!(r#""value":"{}""#, to_base64(value)),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{version},{rest}}}"#)
}
