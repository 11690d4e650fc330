//! The command that makes the digest of a key from standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn key_digest(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumgate"))
        .arg("key-digest")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command");
    let mut stdin = command.stdin.take().expect("an input");
    stdin.write_all(input).expect("an open pipe");
    drop(stdin);
    command.wait_with_output().expect("an exit")
}

/// Guards against the digest of an empty key, if the command before in a pipe failed.
#[test]
fn empty_input_is_refused() {
    for input in ["", "\n", "  \n"] {
        let output = key_digest(input.as_bytes());
        assert_eq!(output.status.code(), Some(2), "{input:?}");
        assert!(output.stdout.is_empty(), "{input:?}");
    }
}

#[test]
fn key_with_and_without_a_line_end_has_the_same_digest() {
    let outputs = ["secret", "secret\n", "secret\r\n"].map(|input| key_digest(input.as_bytes()));
    assert!(outputs.iter().all(|output| output.status.success()));
    assert!(
        outputs
            .iter()
            .all(|output| output.stdout == outputs[0].stdout)
    );
}
