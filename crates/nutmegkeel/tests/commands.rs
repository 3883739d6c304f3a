//! The binary's exit codes and messages.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nutmegkeel"))
        .args(arguments)
        .output()
        .expect("the binary starts")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn settings_that_are_wrong_are_wrong_usage() {
    let output = run(&["check-settings", "/nowhere/balancer.json"]);

    assert_eq!(output.status.code(), Some(2));
    assert!(said(&output).contains("/nowhere/balancer.json: field `file`"), "{}", said(&output));
}

#[test]
fn a_command_to_a_balancer_that_is_not_there_has_not_run() {
    let token = std::env::temp_dir().join(format!("nutmegkeel-token-{}", std::process::id()));
    std::fs::write(&token, "a token that is long enough").expect("the file can be written");
    let token_file = token.to_string_lossy().into_owned();

    let output =
        run(&["class", "set", "--at", "127.0.0.1:1", "--token-file", &token_file, "intake"]);

    std::fs::remove_file(&token).expect("the file can be removed");
    assert_eq!(output.status.code(), Some(3), "{}", said(&output));
}

#[test]
fn every_command_shows_an_example() {
    for command in [vec!["balancer"], vec!["class", "set"], vec!["status"], vec!["drain"]] {
        let mut arguments = command.clone();
        arguments.push("--help");
        let output = run(&arguments);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.contains("Example: nutmegkeel"), "{command:?}: {text}");
    }
}
