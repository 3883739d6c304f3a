//! The binary's exit codes and messages.

use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nutmegkeel"))
        .args(arguments)
        .output()
        .expect("the binary starts")
}

fn write_secret(path: &Path, text: &str) {
    std::fs::write(path, text).expect("the file can be written");
    let owner_only = std::fs::Permissions::from_mode(0o600);
    std::fs::set_permissions(path, owner_only).expect("the mode can be set");
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

/// An operator starts a balancer twice on one host; the second one must say which field to change.
#[test]
fn a_port_in_use_is_named_with_its_field() {
    let taken = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("it is bound").to_string();
    let directory = std::env::temp_dir().join(format!("nutmegkeel-port-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be made");
    let keys = directory.join("keys.json");
    let key = "ab".repeat(32);
    write_secret(&keys, &format!("{{\"used\": 1, \"accepted\": {{\"1\": \"{key}\"}}}}"));
    let settings = directory.join("balancer.json");
    let text = serde_json::json!({
        "role": "balancer", "domain": "osu", "frames": address, "web": "127.0.0.1:0",
        "administration": "127.0.0.1:0", "join": "127.0.0.1:1", "keys": keys,
        "platform": "http://127.0.0.1:1", "token": "a token that is long enough",
        "listen": [{"class": "intake", "address": "127.0.0.1:0"}],
    });
    write_secret(&settings, &text.to_string());

    let output = run(&["balancer", "--settings", &settings.to_string_lossy()]);

    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    assert_eq!(output.status.code(), Some(3), "{}", said(&output));
    let expected = format!("field `frames`: cannot bind {address}");
    assert!(said(&output).contains(&expected), "{}", said(&output));
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

#[test]
fn a_mechanism_that_does_not_exist_is_refused_with_the_names_of_those_that_do() {
    let output = run(&["platform", "agent", "--without", "agent-queue", "--without", "tricks"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(said(&output).contains("no mechanism is called `tricks`"), "{}", said(&output));
    assert!(said(&output).contains("flow-lists"), "{}", said(&output));
}

#[test]
fn a_balancer_that_is_not_there_has_no_status() {
    let output = run(&["platform", "status", "--at", "127.0.0.1:1"]);

    assert_eq!(output.status.code(), Some(3), "{}", said(&output));
    assert!(said(&output).contains("127.0.0.1:1"), "{}", said(&output));
}
