//! Commands and queries of operators, over the administration API of a balancer.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use nutmegkeel_core::class::Target;
use nutmegkeel_core::configuration::{Revision, Standing};
use nutmegkeel_core::member::Health;
use nutmegkeel_core::verdict::Verdict;
use nutmegkeel_node::administration::api::{self, Class, Outcome, Process, SetClass, Status};
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;

/// Address and credentials of the administration API.
#[derive(Clone, Debug)]
pub(crate) struct Access {
    /// Address of the administration API of any balancer.
    pub(crate) at: SocketAddr,
    /// File that holds the token.
    pub(crate) token_file: PathBuf,
}

/// Change of a class as given on the command line; values that are left out stay.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) name: String,
    pub(crate) imbalance_percent: Option<u32>,
    pub(crate) leave_within_ms: Option<u64>,
    pub(crate) settle_within_ms: Option<u64>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) id: Option<String>,
}

/// Error of a command or query.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Fault {
    /// The token cannot be read.
    #[error("token file {}: {error}", file.display())]
    Token {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The token holds characters that are not valid in a header.
    #[error("token file {}: holds more than one line of plain text", .0.display())]
    TokenText(PathBuf),
    /// The client could not be created.
    #[error("{0}")]
    Client(String),
    /// The balancer was not reached or refused the request; nothing was changed.
    #[error("balancer at {0}: {1}; nothing was changed, another balancer may answer")]
    Refused(SocketAddr, String),
    /// A command was sent and got no answer, so that it may have taken effect.
    #[error("balancer at {0}: {1}; repeat with --id {2} to learn how it ended")]
    Unanswered(SocketAddr, String, String),
    /// The balancer has the current configuration, and there is no such class in it.
    #[error("balancer at {at}: there is no class `{name}` at revision {}; `nutmegkeel class list` shows them", revision.0)]
    NoClass {
        /// The balancer.
        at: SocketAddr,
        /// The class.
        name: String,
        /// Latest revision that the balancer knows of.
        revision: Revision,
    },
    /// The balancer does not have the current configuration, so that it cannot rule the class out.
    #[error("balancer at {0}: it does not know the classes yet; ask again, or another balancer")]
    NotYetKnown(SocketAddr),
    /// The balancer answered that the command had no effect, or that it may have had one.
    #[error("{}: {}", .0.verdict.as_str(), .0.message)]
    Ended(Outcome),
}

impl Fault {
    /// Returns whether the requested class is unknown to the balancer.
    pub(crate) const fn is_unknown(&self) -> bool {
        matches!(self, Self::NoClass { .. } | Self::NotYetKnown(_))
    }

    /// Returns whether the command has not run or may have run.
    pub(crate) const fn verdict(&self) -> Verdict {
        match self {
            Self::Unanswered(..) => Verdict::MayHaveRun,
            Self::Ended(outcome) => outcome.verdict,
            _ => Verdict::NotRun,
        }
    }
}

struct Client {
    at: SocketAddr,
    http: HttpClient,
    runtime: Runtime,
}

impl Client {
    fn open(access: &Access) -> Result<Self, Fault> {
        let token = read_token(&access.token_file)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Fault::Client(error.to_string()))?;
        let mut headers = HeaderMap::new();
        headers.insert("authorization", token);
        let http = HttpClientBuilder::default()
            .set_headers(headers)
            .build(format!("http://{}", access.at))
            .map_err(|error| Fault::Client(error.to_string()))?;
        Ok(Self { at: access.at, http, runtime })
    }

    fn query<A: DeserializeOwned>(&self, call: &str) -> Result<A, Fault> {
        let answer = self.runtime.block_on(self.http.request(call, rpc_params![]));
        answer.map_err(|error: ClientError| Fault::Refused(self.at, error.to_string()))
    }

    /// Returns how current the configuration of the balancer is, and its revision. Must be queried
    /// before the classes: a change between the two queries can then only add a class, and never
    /// makes a list that was incomplete look complete.
    fn standing(&self) -> Result<(Standing, Revision), Fault> {
        let status: Status = self.query(api::STATUS)?;
        Ok((status.standing, status.revision))
    }

    fn command(&self, call: &str, parameters: ArrayParams, id: &str) -> Result<Outcome, Fault> {
        let answer = self.runtime.block_on(self.http.request::<Outcome, _>(call, parameters));
        let outcome = answer.map_err(|error| self.command_fault(&error, id))?;
        match outcome.verdict {
            Verdict::Ran => Ok(outcome),
            Verdict::NotRun | Verdict::MayHaveRun => Err(Fault::Ended(outcome)),
        }
    }

    /// Converts a client error. A refusal by the balancer changed nothing; any other failure may
    /// have occurred after the change.
    fn command_fault(&self, error: &ClientError, id: &str) -> Fault {
        match error {
            ClientError::Call(refusal) => Fault::Refused(self.at, refusal.message().to_owned()),
            other => Fault::Unanswered(self.at, other.to_string(), id.to_owned()),
        }
    }
}

fn read_token(file: &Path) -> Result<HeaderValue, Fault> {
    let text =
        std::fs::read_to_string(file).map_err(|error| Fault::Token { file: file.into(), error })?;
    let value = HeaderValue::from_str(&format!("Bearer {}", text.trim()));
    let mut value = value.map_err(|_| Fault::TokenText(file.into()))?;
    value.set_sensitive(true);
    Ok(value)
}

/// Prints the classes in force at the balancer.
pub(crate) fn list_classes(access: &Access) -> Result<(), Fault> {
    let client = Client::open(access)?;
    let (standing, _) = client.standing()?;
    let classes: Vec<Class> = client.query(api::CLASSES)?;
    if classes.is_empty() && standing != Standing::Current {
        return Err(Fault::NotYetKnown(access.at));
    }
    println!(
        "{:<20} {:>8} {:>10} {:>9} {:>10} {:>11} {:>6}",
        "class", "revision", "imbalance", "leave ms", "settle ms", "deadline ms", "takers"
    );
    for class in classes {
        let Some(target) = class.target else {
            println!("{:<20} {:>8} removed", class.name, class.revision.0);
            continue;
        };
        println!(
            "{:<20} {:>8} {:>9}% {:>9} {:>10} {:>11} {:>6}",
            class.name,
            class.revision.0,
            target.imbalance_percent,
            target.leave_within_ms,
            target.settle_within_ms,
            target.deadline_ms,
            class.takers
        );
    }
    Ok(())
}

/// Prints one class as JSON.
pub(crate) fn show_class(access: &Access, name: &str) -> Result<(), Fault> {
    let client = Client::open(access)?;
    let (standing, revision) = client.standing()?;
    let classes: Vec<Class> = client.query(api::CLASSES)?;
    let class = classes.into_iter().find(|class| *class.name == *name);
    let class = class.ok_or_else(|| match standing {
        Standing::Current => Fault::NoClass { at: access.at, name: name.to_owned(), revision },
        Standing::Unknown | Standing::Behind(_) => Fault::NotYetKnown(access.at),
    })?;
    println!("{}", serde_json::to_string_pretty(&class).unwrap_or_default());
    Ok(())
}

/// Changes or creates a class, on the condition that no other change came between read and write.
pub(crate) fn set_class(access: &Access, change: Change) -> Result<(), Fault> {
    let client = Client::open(access)?;
    let classes: Vec<Class> = client.query(api::CLASSES)?;
    let known = classes.into_iter().find(|class| *class.name == *change.name);
    let expected = known.as_ref().map_or(Revision(0), |class| class.revision);
    let mut target = known.and_then(|class| class.target).unwrap_or_default();
    apply(&change, &mut target);
    let id = change.id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let request = SetClass {
        id: id.as_str().into(),
        class: change.name.as_str().into(),
        target: Some(target),
        expected: Some(expected),
    };
    let outcome = client.command(api::SET_CLASS, rpc_params![request], &id)?;
    let revision = outcome.revision.unwrap_or_default().0;
    println!("{} at revision {revision}, change {id}", outcome.message);
    Ok(())
}

fn apply(change: &Change, target: &mut Target) {
    if let Some(percent) = change.imbalance_percent {
        target.imbalance_percent = percent;
    }
    if let Some(millis) = change.leave_within_ms {
        target.leave_within_ms = millis;
    }
    if let Some(millis) = change.settle_within_ms {
        target.settle_within_ms = millis;
    }
    if let Some(millis) = change.deadline_ms {
        target.deadline_ms = millis;
    }
}

/// Drains a process.
pub(crate) fn drain(access: &Access, address: SocketAddr) -> Result<(), Fault> {
    let client = Client::open(access)?;
    let outcome = client.command(api::DRAIN, rpc_params![address], "drain")?;
    println!("{}", outcome.message);
    Ok(())
}

/// Prints the state of all processes as the balancer knows it.
pub(crate) fn status(access: &Access, class: Option<&str>, json: bool) -> Result<(), Fault> {
    let mut status: Status = Client::open(access)?.query(api::STATUS)?;
    if let Some(class) = class {
        status.processes.retain(|process| process.class.as_deref() == Some(class));
    }
    if json {
        println!("{}", serde_json::to_string(&status).unwrap_or_default());
        return Ok(());
    }
    print_revisions(&status);
    println!("{:<24} {:<12} {:<14} {:<8} {:<10}", "process", "class", "domain", "health", "phase");
    for process in &status.processes {
        println!(
            "{:<24} {:<12} {:<14} {:<8} {:<10}",
            process.address.to_string(),
            process.class.as_deref().unwrap_or("(balancer)"),
            process.domain,
            format!("{:?}", process.health),
            format!("{:?}", process.phase)
        );
    }
    Ok(())
}

/// Prints on how many balancers the latest revision is in force.
fn print_revisions(status: &Status) {
    let balancers: Vec<&Process> = status
        .processes
        .iter()
        .filter(|process| process.class.is_none() && process.health != Health::Dead)
        .collect();
    if balancers.is_empty() {
        println!("revision {} at {}", status.revision.0, status.address);
        return;
    }
    let is_current = |process: &&&Process| process.revision == Some(status.revision);
    let current = balancers.iter().filter(is_current).count() + 1;
    println!(
        "revision {} is in force on {current} of {} balancers",
        status.revision.0,
        balancers.len() + 1
    );
}
