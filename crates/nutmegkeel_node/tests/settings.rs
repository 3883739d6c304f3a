//! Tests the faults that are reported for settings files.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use nutmegkeel_node::settings::{self, Fault, Settings};
use serde_json::{Value, json};

/// A directory for one test, removed when dropped.
struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Directory {
    fn open(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("nutmegkeel-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory can be made");
        Self(path)
    }

    fn file(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        let permissions = std::fs::Permissions::from_mode(mode);
        std::fs::set_permissions(&path, permissions).expect("the mode can be set");
        path
    }
}

fn key_text() -> String {
    json!({"used": 1, "accepted": {"1": "ab".repeat(32)}}).to_string()
}

fn balancer(directory: &Directory) -> Value {
    json!({
        "role": "balancer",
        "domain": "osu",
        "frames": "127.0.0.1:7000",
        "web": "127.0.0.1:7001",
        "administration": "127.0.0.1:7002",
        "join": "127.0.0.1:443",
        "platform": "http://127.0.0.1:2379",
        "keys": directory.file("keys.json", &key_text(), 0o600),
        "listen": [{"class": "intake", "address": "127.0.0.1:443"}],
        "token": "a token that is long enough",
    })
}

fn faults(settings: &Value) -> Vec<Fault> {
    match settings::parse(Path::new("balancer.json"), &settings.to_string()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.faults,
    }
}

fn fields(settings: &Value) -> Vec<String> {
    faults(settings).into_iter().map(|fault| fault.field).collect()
}

#[test]
fn valid_settings_have_no_faults() {
    let directory = Directory::open("whole");
    let settings = balancer(&directory);

    let parsed = settings::parse(Path::new("balancer.json"), &settings.to_string());

    assert!(matches!(parsed, Ok(Settings::Balancer(_))));
}

#[test]
fn each_fault_names_its_field() {
    let directory = Directory::open("single");
    let open_keys = directory.file("open.json", &key_text(), 0o644);
    let short_keys = json!({"used": 1, "accepted": {"1": "abcd"}}).to_string();
    let short_keys = directory.file("short.json", &short_keys, 0o600);
    let unused = json!({"used": 2, "accepted": {"1": "ab".repeat(32)}}).to_string();
    let unused = directory.file("unused.json", &unused, 0o600);
    let twice = json!([
        {"class": "intake", "address": "127.0.0.1:443"},
        {"class": "intake", "address": "127.0.0.1:444"},
    ]);
    let broken = [
        ("role", json!("router")),
        ("domain", json!(7)),
        ("frames", json!("10.0.0.1")),
        ("web", json!("localhost:80")),
        ("administration", Value::Null),
        ("join", json!("here")),
        ("platform", json!("etcd:2379")),
        ("keys", json!("/nowhere/keys.json")),
        ("keys", json!(open_keys)),
        ("keys", json!(short_keys)),
        ("keys", json!(unused)),
        ("listen", json!([])),
        ("listen", twice),
        ("token", json!("short")),
    ];

    for (field, value) in broken {
        let mut settings = balancer(&directory);
        settings[field] = value.clone();
        assert_eq!(fields(&settings)[0], field, "{value}");
    }
}

#[test]
fn missing_field_is_reported_with_allowed_values() {
    let directory = Directory::open("missing");
    let mut settings = balancer(&directory);
    settings.as_object_mut().expect("an object").remove("frames");

    let found = faults(&settings);

    assert_eq!(found[0].field, "frames");
    assert!(found[0].reason.contains("allowed: an IP address and port"), "{}", found[0].reason);
}

/// Guards against an operator who has to restart the process for each fault because only the first
/// one is reported.
#[test]
fn all_faults_are_reported_together() {
    let directory = Directory::open("all");
    let mut settings = balancer(&directory);
    settings["frames"] = json!("x");
    settings["token"] = json!("short");
    settings["colour"] = json!("blue");

    assert_eq!(fields(&settings), ["frames", "token", "colour"]);
}

#[test]
fn weights_and_backend_addresses_are_refused_with_the_reason() {
    let directory = Directory::open("weights");
    for field in ["weights", "backends"] {
        let mut settings = balancer(&directory);
        settings[field] = json!({"10.0.0.1": 5});

        let found = faults(&settings);

        assert_eq!(found[0].field, field);
        assert!(found[0].reason.contains("operators state targets"), "{}", found[0].reason);
    }
}

#[test]
fn invalid_json_is_reported() {
    let found =
        settings::parse(Path::new("balancer.json"), "{ role: balancer").expect_err("faulty");

    assert!(found.to_string().starts_with("balancer.json: field `file`: is no JSON object"));
}

/// Guards against a page for operators that does not match the fields in the code.
#[test]
fn settings_page_lists_every_field() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let directory = Directory::open("page");
    let of_balancer = balancer(&directory);
    let of_balancer = of_balancer.as_object().expect("an object").keys().cloned();
    let of_agent = ["certificate", "private_key"].map(str::to_owned);

    for field in of_balancer.chain(of_agent) {
        assert!(page.contains(&format!("| `{field}` |")), "{field} is not in docs/SETTINGS.md");
    }
}
