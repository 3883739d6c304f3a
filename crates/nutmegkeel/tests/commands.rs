//! Exit codes and messages of the binary.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nutmegkeel_standin::process::Process;

/// Time within which a starting balancer accepts connections of operators.
const STARTED_WITHIN: Duration = Duration::from_secs(10);

/// Token of the administration API in these tests.
const TOKEN: &str = "a token that is long enough";

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

fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("nutmegkeel-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("the directory can be created");
    path
}

/// Writes the settings of a balancer without peers, whose platform is unreachable.
fn write_balancer(directory: &Path, frames: &str, administration: &str) -> PathBuf {
    let keys = directory.join("keys.json");
    let key = "ab".repeat(32);
    write_secret(&keys, &format!("{{\"used\": 1, \"accepted\": {{\"1\": \"{key}\"}}}}"));
    let settings = directory.join("balancer.json");
    let text = serde_json::json!({
        "role": "balancer", "domain": "osu", "frames": frames, "web": "127.0.0.1:0",
        "administration": administration, "join": "127.0.0.1:1", "keys": keys,
        "platform": "http://127.0.0.1:1", "token": TOKEN,
        "listen": [{"class": "intake", "address": "127.0.0.1:0"}],
    });
    write_secret(&settings, &text.to_string());
    settings
}

/// Starts a balancer and returns once its administration API accepts connections.
fn start_balancer(directory: &Path, administration: SocketAddr) -> Process {
    let settings = write_balancer(directory, "127.0.0.1:0", &administration.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegkeel"));
    command.args(["balancer", "--settings", &settings.to_string_lossy()]);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    let running = Process::spawn(&mut command).expect("the binary starts");
    let until = Instant::now() + STARTED_WITHIN;
    while std::net::TcpStream::connect(administration).is_err() {
        assert!(Instant::now() < until, "the balancer does not answer at {administration}");
        std::thread::sleep(Duration::from_millis(20));
    }
    running
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn invalid_settings_exit_with_the_usage_code() {
    let output = run(&["check-settings", "/nowhere/balancer.json"]);

    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("/nowhere/balancer.json: field `file`"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn a_command_to_an_unreachable_balancer_is_reported_as_not_run() {
    let token = std::env::temp_dir().join(format!("nutmegkeel-token-{}", std::process::id()));
    std::fs::write(&token, TOKEN).expect("the file can be written");
    let token_file = token.to_string_lossy().into_owned();

    let output =
        run(&["class", "set", "--at", "127.0.0.1:1", "--token-file", &token_file, "intake"]);

    std::fs::remove_file(&token).expect("the file can be removed");
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
}

/// Guards against a bind error that does not name the field to change, for example when a second
/// balancer is started on a host.
#[test]
fn a_bind_error_names_the_field_of_the_address() {
    let taken = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("the socket is bound").to_string();
    let directory = directory("port");
    let settings = write_balancer(&directory, &address, "127.0.0.1:0");

    let output = run(&["balancer", "--settings", &settings.to_string_lossy()]);

    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
    let expected = format!("field `frames`: cannot bind {address}");
    assert!(stderr(&output).contains(&expected), "{}", stderr(&output));
}

/// Guards against a balancer that denies a class that exists: it started while the platform was
/// unreachable and has neither a configuration nor peers. The operator would create the class
/// again.
#[test]
fn a_balancer_without_a_configuration_reports_classes_as_not_yet_known() {
    let directory = directory("unknown");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let administration = listener.local_addr().expect("the socket is bound");
    drop(listener);
    let token = directory.join("token");
    write_secret(&token, TOKEN);
    let _balancer = start_balancer(&directory, administration);

    let (at, token) = (administration.to_string(), token.to_string_lossy().into_owned());
    let access = ["--at", &at, "--token-file", &token];
    let shown = run(&[&["class", "show"], &access[..], &["intake"]].concat());
    let listed = run(&[&["class", "list"], &access[..]].concat());

    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    for output in [shown, listed] {
        assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
        assert!(stderr(&output).contains("does not know the classes yet"), "{}", stderr(&output));
    }
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
fn an_unknown_mechanism_is_refused_with_a_list_of_the_known_ones() {
    let output = run(&["platform", "agent", "--without", "agent-queue", "--without", "tricks"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no mechanism is called `tricks`"), "{}", stderr(&output));
    assert!(stderr(&output).contains("flow-lists"), "{}", stderr(&output));
}

#[test]
fn status_of_an_unreachable_balancer_fails() {
    let output = run(&["platform", "status", "--at", "127.0.0.1:1"]);

    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
    assert!(stderr(&output).contains("127.0.0.1:1"), "{}", stderr(&output));
}
