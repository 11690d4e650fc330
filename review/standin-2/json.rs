//! Reader of JSON, as far as the store needs it, and base64.

use std::collections::BTreeMap;

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a value; `None` if the text is no JSON.
    pub fn read(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'"' => Some(Json::Text(self.string()?)),
            b'{' => self.map(),
            b'[' => self.list(),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            bytes.extend(char::from_u32(code)?.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(list));
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut map = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(map));
        }
        loop {
            self.skip();
            let name = self.string()?;
            self.take(b':')?;
            map.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Map(map));
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(part[0]) << 16 | u32::from(part[1]) << 8 | u32::from(part[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
