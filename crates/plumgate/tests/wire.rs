//! Messages between nodes: encoding, forgery, replay, and invalid input.

use plumgate::Error;
use plumgate::wire::{
    MAX_MESSAGE_BYTES, NodeDigest, PeerEnvelope, PeerKey, PeerMessage, ReplayGuard, TextPatch,
};
use quickcheck::quickcheck;

fn envelope(sequence: u64) -> PeerEnvelope {
    PeerEnvelope {
        sender: "entry-1".to_owned(),
        incarnation: 5,
        sequence,
        sent_ms: 1_000_000,
        message: PeerMessage::Digests(vec![NodeDigest {
            node: "entry-1".to_owned(),
            ..NodeDigest::default()
        }]),
    }
}

fn key() -> PeerKey {
    PeerKey::new(b"a secret of sixteen")
}

#[test]
fn sealed_message_opens_with_the_same_key_only() {
    let bytes = key()
        .seal(&envelope(1))
        .expect("a message within the size limit");
    assert_eq!(key().open(&bytes), Ok(envelope(1)));
    let other = PeerKey::new(b"another secret here");
    assert_eq!(other.open(&bytes), Err(Error::ForgedMessage));
}

#[test]
fn every_changed_or_missing_byte_is_detected() {
    let bytes = key()
        .seal(&envelope(1))
        .expect("a message within the size limit");
    for position in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        assert!(key().open(&changed).is_err(), "byte {position}");
        assert!(key().open(&bytes[..position]).is_err(), "cut at {position}");
    }
    assert!(matches!(
        key().open(&vec![0; MAX_MESSAGE_BYTES + 1]),
        Err(Error::OversizedMessage(..))
    ));
}

// Guards against a recorded message that is replayed, or arrives twice, and restores old load.
#[test]
fn message_is_accepted_once_even_out_of_order() {
    let mut guard = ReplayGuard::new();
    for sequence in [3, 1, 2, 100, 99] {
        assert_eq!(
            guard.check(&envelope(sequence), 1_000_000),
            Ok(()),
            "{sequence}"
        );
    }
    for sequence in [1, 2, 3, 99, 100, 20] {
        assert_eq!(
            guard.check(&envelope(sequence), 1_000_000),
            Err(Error::ReplayedMessage),
            "{sequence}"
        );
    }
}

// Guards against accepting messages of an old incarnation that are still in transit after the node was
// replaced and started with a new one.
#[test]
fn new_incarnation_invalidates_messages_of_the_old_one() {
    let mut guard = ReplayGuard::new();
    guard.check(&envelope(9), 1_000_000).expect("the first");
    let newer = PeerEnvelope {
        incarnation: 6,
        ..envelope(1)
    };
    assert_eq!(guard.check(&newer, 1_000_000), Ok(()));
    assert_eq!(
        guard.check(&envelope(10), 1_000_000),
        Err(Error::ReplayedMessage)
    );
}

#[test]
fn message_with_a_distant_timestamp_is_rejected() {
    let mut guard = ReplayGuard::new();
    assert_eq!(
        guard.check(&envelope(1), 1_030_001),
        Err(Error::StaleMessage(30_001))
    );
    assert_eq!(guard.check(&envelope(1), 1_029_999), Ok(()));
}

quickcheck! {
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes: Vec<u8>) -> bool {
        key().open(&bytes).is_err()
    }

    fn patch_turns_one_text_into_the_other(old: String, new: String) -> bool {
        TextPatch::between(&old, &new).apply(&old).as_deref() == Some(new.as_str())
    }

    fn patch_for_another_text_never_panics(a: String, b: String, c: String) -> bool {
        let _ = TextPatch::between(&a, &b).apply(&c);
        true
    }
}
