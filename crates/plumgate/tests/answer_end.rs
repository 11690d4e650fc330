//! Decision whether an answer is complete.

use std::time::Duration;

use plumgate::gateway::{
    AnswerEnd, AnswerFraming, AnswerVerdict, BodyEnd, ContentEnd, EventSplitter, FailureEvidence,
    ServerCheck, ServerSign,
};
use quickcheck::quickcheck;

const FRAMINGS: [AnswerFraming; 3] = [
    AnswerFraming::Length,
    AnswerFraming::Chunks,
    AnswerFraming::Connection,
];
const ENDS: [BodyEnd; 5] = [
    BodyEnd::Marked,
    BodyEnd::Closed,
    BodyEnd::Reset,
    BodyEnd::Silent,
    BodyEnd::Restarted,
];
const CONTENTS: [ContentEnd; 7] = [
    ContentEnd::Unmarked,
    ContentEnd::Whole,
    ContentEnd::Part,
    ContentEnd::BeforeEvent,
    ContentEnd::AfterEvent,
    ContentEnd::InsideLine,
    ContentEnd::InsideEvent,
];
const SIGNS: [ServerSign; 3] = [ServerSign::Awaited, ServerSign::None, ServerSign::Failed];

fn verdict(
    framing: AnswerFraming,
    end: BodyEnd,
    content: ContentEnd,
    sign: ServerSign,
) -> AnswerVerdict {
    let end = AnswerEnd {
        framing,
        end,
        content,
    };
    end.verdict(sign)
}

/// Guards against a reader that takes the end of the bytes for the end of the message.
#[test]
fn answer_is_complete_only_if_framing_content_and_server_allow_it() {
    for (framing, end, content, sign) in all_cases() {
        let found = verdict(framing, end, content, sign);
        let case = format!("{framing:?} {end:?} {content:?} {sign:?}");
        let is_connection_end = end == BodyEnd::Closed && framing == AnswerFraming::Connection;
        let expected = match (end, content) {
            (BodyEnd::Marked, ContentEnd::InsideEvent) => AnswerVerdict::BrokenOff,
            (BodyEnd::Marked, _) => AnswerVerdict::Complete,
            _ if !is_connection_end => AnswerVerdict::BrokenOff,
            (_, ContentEnd::Whole) => AnswerVerdict::Complete,
            (_, ContentEnd::Unmarked | ContentEnd::AfterEvent) => match sign {
                ServerSign::Awaited => AnswerVerdict::Undecided,
                ServerSign::None => AnswerVerdict::Complete,
                ServerSign::Failed => AnswerVerdict::BrokenOff,
            },
            _ => AnswerVerdict::BrokenOff,
        };
        assert_eq!(found, expected, "{case}");
    }
}

fn all_cases() -> Vec<(AnswerFraming, BodyEnd, ContentEnd, ServerSign)> {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for end in ENDS {
            for content in CONTENTS {
                cases.extend(SIGNS.map(|sign| (framing, end, content, sign)));
            }
        }
    }
    cases
}

/// Guards against sound answers that wait although nothing can be learned, and against a failure long before or after.
#[test]
fn failures_at_the_same_moment_are_a_sign() {
    let ms = Duration::from_millis;
    let sign = |last_failure: Option<u64>, has_others, now| {
        let evidence = FailureEvidence {
            last_failure: last_failure.map(ms),
            has_others,
        };
        evidence.sign(ms(1_000), ms(now))
    };
    assert_eq!(sign(None, false, 1_000), ServerSign::None);
    assert_eq!(sign(None, true, 1_000), ServerSign::Awaited);
    assert_eq!(sign(None, true, 1_010), ServerSign::None);
    assert_eq!(sign(Some(995), false, 1_000), ServerSign::Failed);
    assert_eq!(sign(Some(1_008), true, 1_009), ServerSign::Failed);
    assert_eq!(sign(Some(900), true, 1_000), ServerSign::Awaited);
    assert_eq!(sign(Some(900), false, 1_000), ServerSign::None);
}

fn content_end(text: &str) -> ContentEnd {
    let mut splitter = EventSplitter::new(None);
    splitter.push(text.as_bytes());
    splitter.content_end()
}

/// Guards against blank lines, comments and byte order marks that are taken for the beginning of an event.
#[test]
fn only_fields_begin_an_event() {
    let cases = [
        ("", ContentEnd::BeforeEvent),
        ("\u{feff}", ContentEnd::BeforeEvent),
        (": comment\n\n", ContentEnd::BeforeEvent),
        ("\u{feff}data: a\n\n", ContentEnd::AfterEvent),
        ("data: a\n\n\n", ContentEnd::AfterEvent),
        ("data: a\n\n: comment\n", ContentEnd::AfterEvent),
        ("data: a\n\n: comm", ContentEnd::InsideLine),
        ("data: a\n\nid: 2\n", ContentEnd::InsideEvent),
        ("data: a\n\nid: 2\n: comment\n", ContentEnd::InsideEvent),
        ("data: a\n", ContentEnd::InsideEvent),
        ("data: a\r\n\r\n", ContentEnd::AfterEvent),
        ("data: a\r\n\r", ContentEnd::InsideLine),
        ("data: a\r\n", ContentEnd::InsideEvent),
        ("data: a\r", ContentEnd::InsideEvent),
        ("data: a\r\r", ContentEnd::AfterEvent),
        ("data: a\n\r", ContentEnd::AfterEvent),
        ("data: a\r\n\n", ContentEnd::AfterEvent),
        ("data: a\r\r\n", ContentEnd::AfterEvent),
        ("\u{feff}: comment", ContentEnd::InsideLine),
    ];
    for (text, expected) in cases {
        assert_eq!(content_end(text), expected, "{text:?}");
    }
}

/// Returns a stream, and the places at which one of its events has just ended.
fn stream(line_ends: &[u8], events: usize) -> (String, Vec<usize>) {
    let line_end = |at: usize| match line_ends.get(at % line_ends.len().max(1)) {
        Some(0..=84) => "\n",
        Some(85..=169) => "\r\n",
        _ => "\r",
    };
    let mut text = String::new();
    let mut ends = Vec::new();
    for number in 0..events {
        // One style for each event: a line feed after a carriage return would be part of the same line end.
        let end = line_end(number);
        text += &format!("id: {number}{end}data: piece{end}{end}");
        ends.push(text.len());
    }
    (text, ends)
}

quickcheck! {
    /// A stream that is cut at any byte is taken for complete only after an event; whatever is sent to the caller
    /// ends with an event.
    fn cut_at_any_byte_is_after_an_event_or_not_complete(line_ends: Vec<u8>) -> bool {
        let (text, ends) = stream(&line_ends, 5);
        (0..=text.len()).all(|cut| {
            let mut splitter = EventSplitter::new(None);
            let sent: usize = text.as_bytes()[..cut]
                .iter()
                .filter_map(|byte| splitter.push(&[*byte]))
                .map(|events| events.len())
                .sum();
            let is_end = ends.contains(&cut);
            let holds = match splitter.content_end() {
                ContentEnd::AfterEvent => is_end,
                ContentEnd::BeforeEvent => cut == 0,
                _ => !is_end,
            };
            holds && sent + splitter.partial().len() == cut && (sent == 0 || ends.contains(&sent))
        })
    }
}

/// Guards against a server that accepts no connections any more, whose last answer looks complete.
#[test]
fn only_a_refused_connection_is_a_sign() {
    assert_eq!(ServerSign::from(ServerCheck::Refused), ServerSign::Failed);
    assert_eq!(ServerSign::from(ServerCheck::Reached), ServerSign::None);
    assert_eq!(ServerSign::from(ServerCheck::Silent), ServerSign::None);
}
