//! Settings of a process: JSON, checked at start, with all faults reported at once.

mod reader;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use nutmegkeel_core::class;
use nutmegkeel_wire::key::Ring;
use serde::Deserialize;

use reader::Reader;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The field, or `file` when the file as a whole is at fault.
    pub field: String,
    /// What is wrong, and which values are allowed.
    pub reason: String,
}

/// All faults of a settings file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    /// The file.
    pub file: PathBuf,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.faults.iter().enumerate() {
            if at > 0 {
                writeln!(formatter)?;
            }
            let file = self.file.display();
            write!(formatter, "{file}: field `{}`: {}", fault.field, fault.reason)?;
        }
        Ok(())
    }
}

/// The address of a class at a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Name of the class.
    pub class: class::Name,
    /// Address at which callers' packets are received.
    pub address: SocketAddr,
}

/// Settings that every process has.
#[derive(Clone, Debug)]
pub struct Common {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for frames between processes.
    pub frames: SocketAddr,
    /// Address of the HTTP server for health, metrics and announcements.
    pub web: SocketAddr,
    /// The address at which any balancer of the system can be reached to join it.
    pub join: SocketAddr,
    /// Endpoint of the platform's service.
    pub platform: String,
    /// Shared keys.
    pub keys: Ring,
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Settings that every process has.
    pub common: Common,
    /// Class addresses.
    pub listen: Vec<Listen>,
    /// Address of the administration API.
    pub administration: SocketAddr,
    /// Token that administration calls must carry.
    pub token: Arc<str>,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Settings that every process has.
    pub common: Common,
    /// Certificate chain, PEM.
    pub certificate: PathBuf,
    /// Private key, PEM.
    pub private_key: PathBuf,
}

/// Settings of either role, distinguished by the field `role`.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Of a balancer.
    Balancer(Balancer),
    /// Of an agent.
    Agent(Agent),
}

/// The key file: which keys are accepted and which one is used.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Keys {
    used: u8,
    accepted: BTreeMap<u8, String>,
}

const ADDRESS_ALLOWED: &str = "an IP address and port such as 10.0.0.1:7000";
const FILE_ALLOWED: &str = "a path to a file that only its owner may read";
const MIN_TOKEN_LENGTH: usize = 16;

/// Reads and checks a settings file.
///
/// # Errors
/// All faults of the file at once, each with its field and the allowed values.
pub fn open(file: &Path) -> Result<Settings, Faults> {
    let text = std::fs::read_to_string(file).map_err(|error| Faults {
        file: file.to_owned(),
        faults: vec![Fault { field: "file".to_owned(), reason: error.to_string() }],
    })?;
    parse(file, &text)
}

/// Checks the text of a settings file; `file` is named in the faults.
///
/// # Errors
/// As [`open`].
pub fn parse(file: &Path, text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::open(text);
    let role: Option<String> = reader.required("role", "\"balancer\" or \"agent\"");
    let settings = match role.as_deref() {
        Some("balancer") => balancer(&mut reader).map(Settings::Balancer),
        Some("agent") => agent(&mut reader).map(Settings::Agent),
        Some(other) => {
            reader.fault("role", format!("is \"{other}\"; allowed: \"balancer\" or \"agent\""));
            return Err(Faults { file: file.to_owned(), faults: reader.faults() });
        }
        None => None,
    };
    reader.refuse_unknown();
    let faults = reader.faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(Faults { file: file.to_owned(), faults }),
    }
}

fn balancer(reader: &mut Reader) -> Option<Balancer> {
    let common = common(reader);
    let listen = listen(reader);
    let administration = reader.required("administration", ADDRESS_ALLOWED);
    let token = token(reader);
    Some(Balancer {
        common: common?,
        listen: listen?,
        administration: administration?,
        token: token?.into(),
    })
}

fn agent(reader: &mut Reader) -> Option<Agent> {
    let common = common(reader);
    let certificate = existing_file(reader, "certificate");
    let private_key = secret_file(reader, "private_key");
    Some(Agent { common: common?, certificate: certificate?, private_key: private_key? })
}

fn common(reader: &mut Reader) -> Option<Common> {
    let domain = reader.required::<Arc<str>>("domain", "the name of a failure domain");
    let frames = reader.required("frames", ADDRESS_ALLOWED);
    let web = reader.required("web", ADDRESS_ALLOWED);
    let join = reader.required("join", ADDRESS_ALLOWED);
    let platform = platform(reader);
    let keys = keys(reader);
    Some(Common {
        domain: domain?,
        frames: frames?,
        web: web?,
        join: join?,
        platform: platform?,
        keys: keys?,
    })
}

fn listen(reader: &mut Reader) -> Option<Vec<Listen>> {
    let allowed = "a list such as [{\"class\": \"intake\", \"address\": \"10.0.0.1:443\"}]";
    let listen: Vec<Listen> = reader.required("listen", allowed)?;
    let mut classes: Vec<_> = listen.iter().map(|entry| entry.class.clone()).collect();
    classes.sort();
    classes.dedup();
    if listen.is_empty() || classes.len() < listen.len() {
        reader.fault("listen", format!("needs each class once; allowed: {allowed}"));
        return None;
    }
    Some(listen)
}

fn token(reader: &mut Reader) -> Option<String> {
    let allowed = format!("a text of at least {MIN_TOKEN_LENGTH} characters");
    let token: String = reader.required("token", &allowed)?;
    if token.len() < MIN_TOKEN_LENGTH {
        reader.fault("token", format!("is too short; allowed: {allowed}"));
        return None;
    }
    Some(token)
}

fn platform(reader: &mut Reader) -> Option<String> {
    let allowed = "an endpoint such as http://10.0.0.1:2379";
    let platform: String = reader.required("platform", allowed)?;
    if !platform.starts_with("http://") {
        reader.fault("platform", format!("is \"{platform}\"; allowed: {allowed}"));
        return None;
    }
    Some(platform)
}

fn existing_file(reader: &mut Reader, field: &'static str) -> Option<PathBuf> {
    let path: PathBuf = reader.required(field, "a path to a file")?;
    if let Err(error) = std::fs::metadata(&path) {
        reader.fault(field, format!("{}: {error}", path.display()));
        return None;
    }
    Some(path)
}

/// Requires a file that only its owner can read. Guards against secrets that other users of the
/// host could read.
fn secret_file(reader: &mut Reader, field: &'static str) -> Option<PathBuf> {
    use std::os::unix::fs::PermissionsExt;
    const GROUP_AND_OTHERS: u32 = 0o077;
    let path = existing_file(reader, field)?;
    let mode = std::fs::metadata(&path).map_or(0, |meta| meta.permissions().mode());
    if mode & GROUP_AND_OTHERS != 0 {
        let reason =
            format!("{} has mode {:o}; allowed: {FILE_ALLOWED}", path.display(), mode & 0o777);
        reader.fault(field, reason);
        return None;
    }
    Some(path)
}

fn keys(reader: &mut Reader) -> Option<Ring> {
    let path = secret_file(reader, "keys")?;
    match read_keys(&path) {
        Ok(ring) => Some(ring),
        Err(reason) => {
            reader.fault("keys", format!("{}: {reason}", path.display()));
            None
        }
    }
}

fn read_keys(path: &Path) -> Result<Ring, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let keys: Keys = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    Ring::open(&keys.accepted, keys.used).map_err(|fault| fault.to_string())
}
