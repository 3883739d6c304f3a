//! The processes of the demo and their settings.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nutmegkeel_standin::guard;
use nutmegkeel_standin::process::{Process, Signal};
use nutmegkeel_wire::key::Ring;
use rustls::pki_types::CertificateDer;
use serde_json::{Value, json};

use super::settling::{self, ChangeState};
use crate::caller::SERVER_NAME;
use crate::port;
use crate::standin::backend::{self, Records};
use crate::standin::fabric::{self, Trouble};

/// Number of balancers, including the one that starts later.
const BALANCERS: usize = 4;
/// Number of balancers that run from the start.
const FIRST_BALANCERS: usize = 3;
/// Number of backend servers of each class.
const SERVERS: usize = 3;
/// Classes of the demo.
pub(crate) const CLASSES: [&str; 2] = ["intake", "feeds"];
/// Failure domains, assigned in turn.
const DOMAINS: [&str; 3] = ["osu", "kaneshie", "tema"];
/// Slots and connections of a backend server, as in the specified deployment.
const SLOTS: u32 = 7;
const CONNECTIONS: u32 = 2_000;
/// Time that a short request takes at a backend server, in milliseconds.
const SERVICE_MS: u64 = 3;
/// Time limit for a change to be in force on all balancers, which is required within seconds.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(10);
/// Exit code of the product when a balancer does not know the requested class.
const UNKNOWN_CLASS: i32 = 5;
/// Time limit for a process to exit after a graceful stop or a drain.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A class and its public address.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) address: SocketAddr,
}

struct Server {
    name: String,
    address: SocketAddr,
    agent: Process,
    _backend: Process,
}

struct Balancer {
    file: PathBuf,
    desk: SocketAddr,
    frames: SocketAddr,
    administration: SocketAddr,
    process: Option<Process>,
}

/// All processes of the demo, with their settings and logs in one temporary directory.
pub(crate) struct Deployment {
    directory: PathBuf,
    product: PathBuf,
    platform: String,
    certificate: CertificateDer<'static>,
    classes: Vec<Class>,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    web_addresses: Vec<SocketAddr>,
    standins: Vec<Process>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() || std::env::var_os("NUTMEGKEEL_DEMO_KEEP_LOGS").is_some() {
            println!("logs are kept in {}", self.directory.display());
        } else {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Addresses and files that all processes share.
struct Shared {
    platform: String,
    join: SocketAddr,
    keys: PathBuf,
    certificate: PathBuf,
    private_key: PathBuf,
}

impl Deployment {
    /// Builds the product and starts all processes except the last balancer.
    pub(crate) fn open(trouble: Trouble) -> io::Result<Self> {
        let product = build_product()?;
        let tool = std::env::current_exe()?;
        let name = format!("nutmegkeel-demo-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let (certificate, private_key) = make_certificate()?;
        let der = certificate.der().clone();

        let ports = port::free(1 + CLASSES.len())?;
        let (platform, public) = (ports[0], &ports[1..]);
        let shared = Shared {
            platform: format!("http://{platform}"),
            join: public[0],
            keys: write_secret(&directory, "keys.json", &make_keys())?,
            certificate: write(&directory, "certificate.pem", &certificate.pem())?,
            private_key: write_secret(&directory, "private_key.pem", &private_key)?,
        };
        let (balancers, listed) = make_balancers(&directory, &shared)?;
        let web_addresses = listed.iter().map(|balancer| balancer.web).collect();
        let fabric = fabric::Settings { public: public.to_vec(), balancers: listed, trouble };
        let fabric = write(&directory, "fabric.json", &serde_json::to_string(&fabric)?)?;
        let standins = vec![
            spawn(&directory, "platform", &tool, &["platform", &platform.to_string()])?,
            spawn(&directory, "fabric", &tool, &["fabric", &text(&fabric)])?,
        ];
        let classes = CLASSES.iter().zip(public);
        let classes = classes.map(|(name, address)| Class { name, address: *address }).collect();
        let mut deployment = Self {
            directory,
            product,
            platform: shared.platform.clone(),
            certificate: der,
            classes,
            balancers,
            servers: Vec::new(),
            web_addresses,
            standins,
        };
        for index in 0..FIRST_BALANCERS {
            deployment.start_balancer(index)?;
        }
        for index in 0..CLASSES.len() * SERVERS {
            deployment.start_server(&tool, &shared, index)?;
        }
        Ok(deployment)
    }

    pub(crate) fn certificate(&self) -> CertificateDer<'static> {
        self.certificate.clone()
    }

    pub(crate) fn classes(&self) -> Vec<Class> {
        self.classes.clone()
    }

    /// Returns the number of processes that were started.
    pub(crate) fn processes(&self) -> usize {
        let balancers = self.balancers.iter().filter(|balancer| balancer.process.is_some()).count();
        balancers + 2 * self.servers.len() + self.standins.len()
    }

    /// Returns the keys that all processes share.
    pub(crate) fn keys(&self) -> io::Result<Ring> {
        let text = fs::read_to_string(self.directory.join("keys.json"))?;
        let keys: Value = serde_json::from_str(&text)?;
        let key = keys["accepted"]["1"].as_str().unwrap_or_default().to_owned();
        Ring::open(&BTreeMap::from([(1, key)]), 1).map_err(io::Error::other)
    }

    /// Returns the first class address, the frame address and the process id of a balancer.
    pub(crate) fn balancer(&self, index: usize) -> io::Result<(SocketAddr, SocketAddr, u32)> {
        let balancer = &self.balancers[index];
        let process = balancer
            .process
            .as_ref()
            .ok_or_else(|| io::Error::other("the balancer was not started"))?;
        Ok((balancer.desk, balancer.frames, process.id()))
    }

    /// Returns the number of balancers and agents that were started.
    pub(crate) fn product_processes(&self) -> usize {
        self.processes() - self.servers.len() - self.standins.len()
    }

    pub(crate) fn start_balancer(&mut self, index: usize) -> io::Result<()> {
        let name = format!("balancer-{}", index + 1);
        let file = text(&self.balancers[index].file);
        let arguments = ["balancer", "--settings", &file];
        let process = spawn(&self.directory, &name, &self.product, &arguments)?;
        self.balancers[index].process = Some(process);
        Ok(())
    }

    /// Requests a graceful stop of a balancer.
    pub(crate) fn stop_balancer(&mut self, index: usize) -> io::Result<()> {
        self.balancers[index]
            .process
            .as_mut()
            .map_or(Ok(()), |process| process.signal(Signal::Term))
    }

    pub(crate) fn kill_balancer(&mut self, index: usize) {
        if let Some(process) = &mut self.balancers[index].process {
            process.kill();
        }
    }

    pub(crate) fn balancer_exited(&mut self, index: usize) -> bool {
        let process = self.balancers[index].process.as_mut();
        process.is_some_and(exits_cleanly)
    }

    /// Drains the server that holds the feed and returns its name.
    pub(crate) fn drain_server_with_open_feed(&self) -> io::Result<String> {
        let holder = self
            .servers
            .iter()
            .find(|server| fetch_records(server.address).is_ok_and(|records| records.feeds > 0));
        let server = holder.ok_or_else(|| io::Error::other("no server holds the feed"))?;
        let url = format!("http://{}/drain", server.address);
        ureq::post(&url).send_empty().map_err(io::Error::other)?;
        Ok(server.name.clone())
    }

    /// Kills the agent of the server called `name` and returns that name.
    pub(crate) fn kill_agent(&mut self, name: &str) -> io::Result<String> {
        let server = self.servers.iter_mut().find(|server| server.name == name);
        let server = server.ok_or_else(|| io::Error::other("there is no such server"))?;
        server.agent.kill();
        Ok(server.name.clone())
    }

    /// Sends a signal to the agent of the server called `name`.
    pub(crate) fn signal_agent(&mut self, name: &str, signal: Signal) -> io::Result<()> {
        let server = self.servers.iter_mut().find(|server| server.name == name);
        let server = server.ok_or_else(|| io::Error::other("there is no such server"))?;
        server.agent.signal(signal)
    }

    pub(crate) fn agent_exited(&mut self, name: &str) -> bool {
        let server = self.servers.iter_mut().find(|server| server.name == name);
        server.is_some_and(|server| exits_cleanly(&mut server.agent))
    }

    pub(crate) fn records(&self) -> Vec<Records> {
        self.servers.iter().filter_map(|server| fetch_records(server.address).ok()).collect()
    }

    /// Returns the metrics of all running processes, summed by name and labels.
    pub(crate) fn counters(&self) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for web in &self.web_addresses {
            let Ok(mut answer) = ureq::get(format!("http://{web}/metrics")).call() else {
                continue;
            };
            let text = answer.body_mut().read_to_string().unwrap_or_default();
            for line in text.lines().filter(|line| !line.starts_with('#')) {
                if let Some((name, value)) = line.rsplit_once(' ') {
                    *sums.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0.0);
                }
            }
        }
        sums
    }

    /// Changes a class with the product's own command, stops the platform at once, and returns the
    /// time until every running balancer reports that the change is in force.
    pub(crate) fn change_class_then_lose_platform(&mut self) -> io::Result<Duration> {
        let running: Vec<SocketAddr> = self.running_balancers();
        let first = *running.first().ok_or_else(|| io::Error::other("no balancer runs"))?;
        let began = Instant::now();
        let set = ["class", "set", "--leave-within-ms", "1500", "intake"];
        let output = self.run_successfully(first, &set)?;
        self.set_platform("down")?;
        println!("        {}", output.trim());
        settling::wait(began, SETTLING_TIMEOUT, &running, |at| self.show_intake(at))
    }

    fn show_intake(&self, at: SocketAddr) -> io::Result<ChangeState> {
        let ran = self.run_command(at, &["class", "show", "intake"])?;
        if ran.status.code() == Some(UNKNOWN_CLASS) {
            return Ok(ChangeState::NotKnown);
        }
        let text = output_of("class show intake", &ran)?;
        let is_changed = text.contains("\"leave_within_ms\": 1500");
        Ok(if is_changed { ChangeState::InForce } else { ChangeState::Earlier })
    }

    /// Sets the mode of the platform stand-in.
    pub(crate) fn set_platform(&self, mode: &str) -> io::Result<()> {
        let url = format!("{}/control", self.platform);
        ureq::post(url).send_json(mode).map(drop).map_err(io::Error::other)
    }

    fn running_balancers(&mut self) -> Vec<SocketAddr> {
        let mut running = Vec::new();
        for balancer in &mut self.balancers {
            if balancer.process.as_mut().is_some_and(Process::is_running) {
                running.push(balancer.administration);
            }
        }
        running
    }

    /// Runs one of the product's commands against a balancer and returns its output.
    fn run_successfully(&self, at: SocketAddr, arguments: &[&str]) -> io::Result<String> {
        output_of(&arguments.join(" "), &self.run_command(at, arguments)?)
    }

    fn run_command(&self, at: SocketAddr, arguments: &[&str]) -> io::Result<Output> {
        let at = at.to_string();
        let token_file = text(&self.directory.join("token"));
        let (command, rest) = arguments.split_at(2);
        let mut running = Command::new(&self.product);
        running.args(command).args(["--at", &at, "--token-file", &token_file]).args(rest);
        guard::output(&mut running)
    }

    /// Returns a `status` command line for each started balancer.
    pub(crate) fn status_commands(&self) -> String {
        let token = self.directory.join("token");
        let running = self.balancers.iter().filter(|balancer| balancer.process.is_some());
        let lines = running.map(|balancer| {
            let (product, at) = (self.product.display(), balancer.administration);
            format!("{product} status --at {at} --token-file {}", token.display())
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    fn start_server(&mut self, tool: &Path, shared: &Shared, index: usize) -> io::Result<()> {
        let class = CLASSES[index / SERVERS];
        let domain = DOMAINS[index % DOMAINS.len()];
        let name = format!("{class}-{}", index % SERVERS + 1);
        let ports = port::free(3)?;
        let agent = json!({
            "role": "agent", "domain": domain, "frames": ports[0], "web": ports[1],
            "join": shared.join, "platform": shared.platform, "keys": shared.keys,
            "certificate": shared.certificate, "private_key": shared.private_key,
        });
        let agent = write_json(&self.directory, &format!("agent-{name}.json"), &agent)?;
        let server = backend::Settings {
            name: name.clone(),
            class: class.to_owned(),
            address: ports[2],
            agent: ports[1],
            slots: SLOTS,
            connections: CONNECTIONS,
            service_ms: SERVICE_MS,
        };
        let file = format!("backend-{name}.json");
        let file = write(&self.directory, &file, &serde_json::to_string(&server)?)?;
        let arguments = ["agent", "--settings", &text(&agent)];
        let agent = spawn(&self.directory, &format!("agent-{name}"), &self.product, &arguments)?;
        let arguments = ["backend", &text(&file)];
        let backend = spawn(&self.directory, &format!("backend-{name}"), tool, &arguments)?;
        self.web_addresses.push(ports[1]);
        self.servers.push(Server { name, address: ports[2], agent, _backend: backend });
        Ok(())
    }
}

fn make_balancers(
    directory: &Path,
    shared: &Shared,
) -> io::Result<(Vec<Balancer>, Vec<fabric::Balancer>)> {
    let token = write_secret(directory, "token", &hex(&rand::random::<[u8; 16]>()))?;
    let token = fs::read_to_string(token)?;
    let mut balancers = Vec::new();
    let mut listed = Vec::new();
    for index in 0..BALANCERS {
        let ports = port::free(3 + CLASSES.len())?;
        let desks = ports[3..].to_vec();
        let listen: Vec<Value> = CLASSES
            .iter()
            .zip(&desks)
            .map(|(class, address)| json!({"class": class, "address": address}))
            .collect();
        let settings = json!({
            "role": "balancer", "domain": DOMAINS[index % DOMAINS.len()],
            "frames": ports[0], "web": ports[1], "administration": ports[2],
            "join": shared.join, "platform": shared.platform, "keys": shared.keys,
            "listen": listen, "token": token,
        });
        let file = write_json(directory, &format!("balancer-{}.json", index + 1), &settings)?;
        balancers.push(Balancer {
            file,
            desk: desks[0],
            frames: ports[0],
            administration: ports[2],
            process: None,
        });
        listed.push(fabric::Balancer { web: ports[1], desks });
    }
    Ok((balancers, listed))
}

/// Returns the standard output of a command, or its error output as an error if it failed.
fn output_of(command: &str, ran: &Output) -> io::Result<String> {
    if !ran.status.success() {
        let output = String::from_utf8_lossy(&ran.stderr);
        return Err(io::Error::other(format!("{command}: {output}")));
    }
    Ok(String::from_utf8_lossy(&ran.stdout).into_owned())
}

fn fetch_records(address: SocketAddr) -> io::Result<Records> {
    let mut answer =
        ureq::get(format!("http://{address}/records")).call().map_err(io::Error::other)?;
    answer.body_mut().read_json().map_err(io::Error::other)
}

/// Builds the product in the profile of this tool and returns its path.
fn build_product() -> io::Result<PathBuf> {
    let tool = std::env::current_exe()?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--package", "nutmegkeel"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    if !guard::spawn(&mut build)?.wait()?.success() {
        return Err(io::Error::other("the product could not be built"));
    }
    let product = tool.parent().map(|directory| directory.join("nutmegkeel"));
    product
        .filter(|path| path.exists())
        .ok_or_else(|| io::Error::other("the product is not in the directory of this tool"))
}

fn make_certificate() -> io::Result<(rcgen::Certificate, String)> {
    let names = vec![SERVER_NAME.to_owned()];
    let made = rcgen::generate_simple_self_signed(names).map_err(io::Error::other)?;
    Ok((made.cert, made.key_pair.serialize_pem()))
}

fn make_keys() -> String {
    json!({"used": 1, "accepted": {"1": hex(&rand::random::<[u8; 32]>())}}).to_string()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Starts a program whose output goes to a log in the directory.
fn spawn(directory: &Path, name: &str, program: &Path, arguments: &[&str]) -> io::Result<Process> {
    let log = fs::File::create(directory.join(format!("{name}.log")))?;
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
    Process::spawn(&mut command)
}

fn exits_cleanly(process: &mut Process) -> bool {
    process.exit_within(EXIT_TIMEOUT).is_some_and(|status| status.success())
}

fn write_json(directory: &Path, name: &str, value: &Value) -> io::Result<PathBuf> {
    write_secret(directory, name, &value.to_string())
}

fn write(directory: &Path, name: &str, text: &str) -> io::Result<PathBuf> {
    let path = directory.join(name);
    fs::write(&path, text)?;
    Ok(path)
}

fn write_secret(directory: &Path, name: &str, text: &str) -> io::Result<PathBuf> {
    const OWNER_ONLY: u32 = 0o600;
    let path = directory.join(name);
    let mut options = fs::OpenOptions::new();
    let file = options.write(true).create(true).truncate(true).mode(OWNER_ONLY).open(&path)?;
    io::Write::write_all(&mut &file, text.as_bytes())?;
    Ok(path)
}

fn text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}
