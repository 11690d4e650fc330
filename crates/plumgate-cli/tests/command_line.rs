//! Help texts and completions of the commands.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumgate"));
    command.args(args).output().expect("the command")
}

fn stdout(args: &[&str]) -> String {
    let output = run(args);
    assert!(output.status.success(), "{args:?}");
    String::from_utf8(output.stdout).expect("a text")
}

/// Returns the names of the commands, from the list of `--help`.
fn commands() -> Vec<String> {
    let help = stdout(&["--help"]);
    let lines = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let names = lines.map_while(|line| line.split_whitespace().next());
    names
        .filter(|name| *name != "help")
        .map(str::to_owned)
        .collect()
}

/// Guards against a command without help, or with one that does not say what the command does.
#[test]
fn every_command_has_a_help_text() {
    let commands = commands();
    assert!(commands.iter().any(|command| command == "gateway"));
    for command in commands {
        let help = stdout(&[&command, "--help"]);
        let about = help.lines().next().unwrap_or_default();
        assert!(about.split(' ').count() > 2, "{command}: {about}");
        for flag in ["--nodes", "--json"] {
            assert!(help.contains(flag), "{command}: {flag}");
        }
    }
}

/// Guards against help of `gateway` that names the wrong addresses or no bound of its duration.
#[test]
fn help_of_gateway_names_addresses_and_timeout() {
    let help = stdout(&["gateway", "--help"]);
    assert!(help.contains("--nodes takes addresses of /metrics"));
    assert!(help.contains("--timeout-ms <timeout-ms>"));
    assert!(help.contains("[default: 1000]"));
    for timeout in ["0", "60001", "x"] {
        let output = run(&["gateway", "--timeout-ms", timeout]);
        assert_eq!(output.status.code(), Some(2), "{timeout}");
    }
}

/// Guards against a command, or a flag of `gateway`, that a shell does not complete.
#[test]
fn completions_cover_every_command() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let script = stdout(&["completions", shell]);
        for command in commands() {
            assert!(script.contains(&command), "{shell}: {command}");
        }
        assert!(script.contains("timeout-ms"), "{shell}");
    }
}
