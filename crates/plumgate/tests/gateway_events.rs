//! Splitting of streams into complete events.

use plumgate::gateway::EventSplitter;
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

#[test]
fn complete_events_are_forwarded_and_a_partial_one_is_buffered() {
    let mut splitter = EventSplitter::new(None);
    let text = format!("{}{}id: 3\nda", event(1), event(2));
    let complete = splitter.push(text.as_bytes());
    assert_eq!(
        complete.as_deref(),
        Some(format!("{}{}", event(1), event(2)).as_bytes())
    );
    assert_eq!(splitter.last_id(), Some(2));
    assert_eq!(splitter.partial(), b"id: 3\nda");
}

// Guards against a gap or a repeat in the caller's stream when the server stops in the middle of an event:
// the partial event must not be sent, as the next server sends the complete event.
#[test]
fn partial_event_is_dropped_before_another_server_continues() {
    let mut splitter = EventSplitter::new(None);
    let first = splitter.push(format!("{}id: 2\ndata: pie", event(1)).as_bytes());
    splitter.begin_source();
    let second = splitter.push(event(2).as_bytes());
    let all: Vec<u8> = first.into_iter().chain(second).flatten().collect();
    assert_eq!(all, format!("{}{}", event(1), event(2)).into_bytes());
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn resumed_stream_starts_from_the_last_event_id() {
    let splitter = EventSplitter::new(Some(12));
    assert_eq!(splitter.last_id(), Some(12));
}

quickcheck! {
    /// However the network splits a stream, all its bytes come out in order, and every output ends with a
    /// complete event.
    fn any_split_gives_the_same_bytes(sizes: Vec<u8>, crlf: bool) -> bool {
        let mut text: String = (1..6).map(event).collect();
        if crlf {
            text = text.replace('\n', "\r\n");
        }
        let mut splitter = EventSplitter::new(None);
        let mut out = Vec::new();
        let mut left = text.as_bytes();
        let mut sizes = sizes.into_iter();
        while !left.is_empty() {
            let size = usize::from(sizes.next().unwrap_or(255).max(1)).min(left.len());
            let (piece, rest) = left.split_at(size);
            left = rest;
            if let Some(complete) = splitter.push(piece) {
                let end: &[u8] = if crlf { b"\r\n\r\n" } else { b"\n\n" };
                if !complete.ends_with(end) {
                    return false;
                }
                out.extend_from_slice(&complete);
            }
        }
        out == text.as_bytes() && splitter.partial().is_empty() && splitter.last_id() == Some(5)
    }
}

/// Guards against events that are held back until the end, from a server whose line end is a carriage return alone.
#[test]
fn events_with_any_line_end_are_forwarded_at_once() {
    for line_end in ["\n", "\r\n", "\r"] {
        let mut splitter = EventSplitter::new(None);
        for number in 1..=3 {
            let event = event(number).replace('\n', line_end);
            let sent = splitter.push(event.as_bytes());
            assert_eq!(sent.as_deref(), Some(event.as_bytes()), "{line_end:?}");
            assert_eq!(splitter.last_id(), Some(number), "{line_end:?}");
        }
    }
}

/// Guards against a first event that is not recognized behind a byte order mark, and against one inside a stream.
#[test]
fn byte_order_mark_is_kept_at_the_start_only() {
    let marked = |number| format!("\u{feff}{}", event(number));
    let mut splitter = EventSplitter::new(None);
    let text = marked(1);
    let (first, rest) = text.as_bytes().split_at(2);
    assert_eq!(splitter.push(first), None);
    assert_eq!(splitter.push(rest).as_deref(), Some(text.as_bytes()));
    splitter.begin_source();
    let second = splitter.push(marked(2).as_bytes());
    assert_eq!(second.as_deref(), Some(event(2).as_bytes()));
    assert_eq!(splitter.last_id(), Some(2));
}
