//! Files that are read while they are written.

use plumgate::settled_text::SettledText;
use quickcheck::quickcheck;

/// Guards against the first half of a settings file that is put in force while it is written.
#[test]
fn content_counts_once_two_reads_agree() {
    let mut file = SettledText::new(b"a=1\nb=12\n".to_vec());
    assert_eq!(file.record_read(b"a=2\nb=1".to_vec()), None);
    assert!(file.is_pending());
    assert_eq!(file.record_read(b"a=2\nb=13\n".to_vec()), None);
    assert_eq!(
        file.record_read(b"a=2\nb=13\n".to_vec()),
        Some(&b"a=2\nb=13\n"[..])
    );
    assert!(!file.is_pending());
    assert_eq!(
        file.record_read(b"a=2\nb=13\n".to_vec()),
        None,
        "it is in force"
    );
}

/// Guards against a change that is forgotten, or an old content that is put in force again.
#[test]
fn change_that_is_taken_back_is_not_applied() {
    let mut file = SettledText::new(b"a=1\n".to_vec());
    assert_eq!(file.record_read(Vec::new()), None);
    assert_eq!(file.record_read(b"a=1\n".to_vec()), None);
    assert!(!file.is_pending());
    assert_eq!(file.applied(), b"a=1\n");
}

quickcheck! {
    /// However a file is cut at each read, only a content that was read twice in a row is put in force.
    fn growing_file_is_applied_whole(content: Vec<u8>, cuts: Vec<usize>) -> bool {
        let mut file = SettledText::new(b"old".to_vec());
        let mut previous = 0;
        for cut in cuts {
            // Each read finds more than the one before, until the file is whole.
            let end = (previous + 1 + cut % 7).min(content.len());
            let is_whole = end == content.len();
            if file.record_read(content[..end].to_vec()).is_some() && !is_whole {
                return false;
            }
            previous = end;
        }
        let _ = file.record_read(content.clone());
        let _ = file.record_read(content.clone());
        file.applied() == content
    }
}
