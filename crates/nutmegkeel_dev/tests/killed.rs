//! What is left of a program's child processes when the program is killed.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Environment variable that children inherit; its value names the test.
const MARK: &str = "NUTMEGKEEL_KILLED_TEST";

/// Number of processes that the demo starts before it calls any of them.
const DEMO_PROCESSES: usize = 14;

/// Time within which the children of a killed program must be gone.
const GONE_WITHIN: Duration = Duration::from_secs(5);

/// Time within which a program starts its children, on a busy machine.
const STARTED_WITHIN: Duration = Duration::from_secs(60);

/// A program under test, with a value of [`MARK`] that no other one has.
struct Program {
    mark: String,
    child: Child,
}

impl Program {
    fn spawn(test: &str, arguments: &[&str], path: Option<&Path>) -> Self {
        build_product();
        let mark = format!("{test}-{}", std::process::id());
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegkeel_dev"));
        if let Some(first) = path {
            let mut paths = OsString::from(first);
            paths.push(":");
            paths.push(std::env::var_os("PATH").unwrap_or_default());
            command.env("PATH", paths);
        }
        command.args(arguments).env(MARK, &mark).stdout(Stdio::null()).stderr(Stdio::null());
        Self { mark, child: command.spawn().expect("the program starts") }
    }

    /// Waits without a pause until the program has started as many children, and returns them.
    fn wait_for_children(&self, count: usize) -> BTreeSet<u32> {
        let until = Instant::now() + STARTED_WITHIN;
        let mut seen = BTreeSet::new();
        while seen.len() < count {
            assert!(Instant::now() < until, "{} of {count} children: {seen:?}", seen.len());
            let ids = process_ids().into_iter();
            seen.extend(ids.filter(|id| parent_of(*id) == Some(self.child.id())));
        }
        seen
    }

    /// Kills the program, and returns the command lines of the children that are left after some
    /// time. They are killed too.
    fn kill(mut self) -> Vec<String> {
        self.child.kill().expect("the program runs");
        self.child.wait().expect("the program has ended");
        let until = Instant::now() + GONE_WITHIN;
        while Instant::now() < until && !self.marked().is_empty() {
            std::thread::sleep(Duration::from_millis(20));
        }
        let left = self.marked();
        let lines = left.iter().map(|id| command_line(*id)).collect();
        for id in left {
            send_signal("KILL", id);
        }
        lines
    }

    fn marked(&self) -> Vec<u32> {
        let entry = format!("{MARK}={}", self.mark).into_bytes();
        let is_marked = |id: &u32| {
            let environment = fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
            environment.split(|byte| *byte == 0).any(|variable| variable == entry)
        };
        process_ids().into_iter().filter(is_marked).collect()
    }
}

/// Builds the product that the programs start. They build it too, and a whole build takes longer than
/// they may take to start their children.
fn build_product() {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.args(["build", "--quiet", "--package", "nutmegkeel"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().expect("cargo starts");
        assert!(built.success(), "the product could not be built");
    });
}

fn process_ids() -> Vec<u32> {
    let entries = fs::read_dir("/proc").expect("processes are listed").flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect()
}

fn parent_of(id: u32) -> Option<u32> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix("PPid:"))?.trim().parse().ok()
}

fn command_line(id: u32) -> String {
    let bytes = fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
    String::from_utf8_lossy(&bytes).replace('\0', " ")
}

fn send_signal(name: &str, id: u32) {
    let _ = Command::new("kill").args(["-s", name, &id.to_string()]).status();
}

/// Writes a program that starts another one, which runs for a minute.
fn write_program(test: &str, name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("nutmegkeel-{test}-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("the directory can be created");
    let program = directory.join(name);
    fs::write(&program, "#!/bin/sh\nsleep 60\nexit 1\n").expect("the program can be written");
    let mode = fs::Permissions::from_mode(0o755);
    fs::set_permissions(&program, mode).expect("the mode can be set");
    directory
}

/// Guards against a child that runs on because its program was killed between starting it and
/// recording that it did: kills the demo as soon as each of its children appears.
#[test]
fn a_demo_killed_at_any_start_leaves_no_processes() {
    let mut left = Vec::new();
    for count in 1..=DEMO_PROCESSES {
        let demo = Program::spawn("start", &["demo", "--seconds", "60"], None);
        demo.wait_for_children(count);
        left.extend(demo.kill().into_iter().map(|line| (count, line)));
    }

    assert!(left.is_empty(), "{left:#?}");
}

/// Guards against a watching process that ends before it has killed the others: the kernel sends
/// SIGHUP to a group with suspended processes when the program that started them has ended.
#[test]
fn a_killed_demo_leaves_no_suspended_processes() {
    let demo = Program::spawn("suspended", &["demo", "--seconds", "60"], None);
    let children = demo.wait_for_children(DEMO_PROCESSES);
    children.into_iter().for_each(|id| send_signal("STOP", id));

    let left = demo.kill();

    assert!(left.is_empty(), "{left:#?}");
}

/// Guards against busy processes and processes under test that run on after a killed soak test.
#[test]
fn a_killed_soak_leaves_no_processes() {
    let arguments = ["soak-processes", "--count", "1", "--seconds", "60", "--busy", "2"];
    let soak = Program::spawn("soak", &arguments, None);
    soak.wait_for_children(8);

    let left = soak.kill();

    assert!(left.is_empty(), "{left:#?}");
}

/// Guards against a measuring process that runs on after a killed measurement.
#[test]
fn a_killed_measurement_leaves_no_processes() {
    let measurement = Program::spawn("capacity", &["measure", "capacity"], None);
    measurement.wait_for_children(2);

    let left = measurement.kill();

    assert!(left.is_empty(), "{left:#?}");
}

/// Guards against a model checker that runs on after a killed check.
#[test]
fn a_killed_model_check_leaves_no_processes() {
    let directory = write_program("model", "spin");
    let model = Program::spawn("model", &["model"], Some(&directory));
    model.wait_for_children(1);
    std::thread::sleep(Duration::from_millis(200));

    let left = model.kill();

    assert!(left.is_empty(), "{left:#?}");
}

/// Guards against a bench, and processes that it has started, that run on after a killed
/// comparison.
#[test]
fn a_killed_comparison_leaves_no_processes() {
    let directory = write_program("compare", "bench");
    let bench = directory.join("bench").to_string_lossy().into_owned();
    let ways = ["a", "b"].map(|name| format!("{name}={}", directory.display()));
    let [first, second] = ways.each_ref().map(String::as_str);
    let arguments = [
        ["compare", "--why=test"],
        ["--bench", &bench],
        ["--site", "a.toml"],
        ["--day", "quiet-1"],
        ["--way", first],
        ["--way", second],
    ]
    .concat();
    let comparison = Program::spawn("compare", &arguments, None);
    comparison.wait_for_children(1);
    std::thread::sleep(Duration::from_millis(200));

    let left = comparison.kill();

    assert!(left.is_empty(), "{left:#?}");
}
