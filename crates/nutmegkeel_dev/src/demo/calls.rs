//! Callers of the demo and their results.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, StatusCode};
use rustls::pki_types::CertificateDer;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use super::deployment::CLASSES;
pub(crate) use super::deployment::Class;
use crate::body;
use crate::caller::{Answer, Call, Caller, Fault, Flow};
use crate::standin::backend::line;

/// Number of callers of each class that open one short flow after another.
const CALLERS: usize = 12;
/// Pause of a caller between two flows, and before a retry without advice from the system.
const FLOW_PAUSE: Duration = Duration::from_millis(40);
/// Parts of the download: 64 MiB.
const DOWNLOAD_PARTS: usize = 1_024;
/// Time between two lines of the feed, in milliseconds.
const LINE_INTERVAL_MS: u64 = 100;
/// Time limit for both classes to be served.
const SERVED_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts for one call.
const MAX_ATTEMPTS: usize = 6;
/// Highest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Results of the callers of one class.
#[derive(Debug)]
pub(crate) struct Totals {
    pub(crate) calls: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) may_have_run: u64,
    pub(crate) not_opened: u64,
    pub(crate) broken: u64,
    pub(crate) faults: Vec<String>,
    pub(crate) filed: Vec<String>,
    pub(crate) times: Histogram<u64>,
    pub(crate) longest_silence: Duration,
    began: Instant,
}

impl Totals {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            calls: 0,
            answered: 0,
            refused: 0,
            may_have_run: 0,
            not_opened: 0,
            broken: 0,
            faults: Vec::new(),
            filed: Vec::new(),
            times: times.unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|_| unreachable!())),
            longest_silence: Duration::ZERO,
            began: Instant::now(),
        }
    }

    fn merge(&mut self, other: Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.refused += other.refused;
        self.may_have_run += other.may_have_run;
        self.not_opened += other.not_opened;
        self.broken += other.broken;
        self.faults.extend(other.faults);
        self.filed.extend(other.filed);
        // Adding cannot fail, since both histograms have the same bounds.
        let _ = self.times.add(other.times);
        self.longest_silence = self.longest_silence.max(other.longest_silence);
    }

    fn record_fault(&mut self, what: &str, fault: &Fault) {
        match fault {
            Fault::NotOpened(_) => self.not_opened += 1,
            Fault::NotAccepted => self.refused += 1,
            Fault::Broken(_) => self.broken += 1,
        }
        let at = self.began.elapsed().as_secs_f64();
        self.faults.push(format!("{at:.1}s {what}: {fault}"));
    }
}

/// Results of all callers, by class.
pub(crate) type Results = BTreeMap<&'static str, Totals>;

/// Running callers.
pub(crate) struct Calls {
    tasks: JoinSet<(&'static str, Totals)>,
}

impl Calls {
    /// Starts the callers, which run for `length`.
    pub(crate) fn begin(
        runtime: &Runtime,
        certificate: CertificateDer<'static>,
        classes: Vec<Class>,
        length: Duration,
    ) -> Self {
        let entered = runtime.enter();
        let until = Instant::now() + length;
        let mut tasks = JoinSet::new();
        for class in &classes {
            for _ in 0..CALLERS {
                tasks.spawn(call_repeatedly(class.clone(), certificate.clone(), until));
            }
        }
        let feeds = classes[CLASSES.len() - 1].clone();
        tasks.spawn(download(feeds.clone(), certificate.clone()));
        tasks.spawn(follow_feed(feeds, certificate, length));
        drop(entered);
        Self { tasks }
    }

    /// Waits for all callers and returns their results.
    pub(crate) fn end(mut self, runtime: &Runtime) -> Results {
        runtime.block_on(async {
            let mut results = Results::new();
            while let Some(ended) = self.tasks.join_next().await {
                if let Ok((class, totals)) = ended {
                    results.entry(class).or_insert_with(Totals::new).merge(totals);
                }
            }
            results
        })
    }
}

/// Waits until a status check is answered in every class.
pub(crate) async fn wait_until_served(
    certificate: CertificateDer<'static>,
    classes: &[Class],
) -> io::Result<()> {
    let until = Instant::now() + SERVED_TIMEOUT;
    for class in classes {
        loop {
            let caller = Caller::open(certificate.clone())?;
            let call = status_check(class, 0);
            let opened = tokio::time::timeout(Duration::from_secs(1), caller.flow(class.address));
            if let Ok(Ok(mut flow)) = opened.await
                && flow.call(&call).await.is_ok_and(|answer| answer.status == StatusCode::OK)
            {
                flow.close();
                break;
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!("class {} is not served", class.name)));
            }
        }
    }
    Ok(())
}

pub(crate) fn status_check(class: &Class, number: u64) -> Call {
    Call {
        method: Method::GET,
        path: format!("/status/{number}"),
        class: class.name.to_owned(),
        key: None,
        body: Bytes::new(),
    }
}

pub(crate) fn filing(class: &Class, number: u64) -> Call {
    Call {
        method: Method::POST,
        path: "/filings".to_owned(),
        class: class.name.to_owned(),
        key: Some(format!("{}-{number}", class.name)),
        body: format!("filing {number}: please release the records").into(),
    }
}

/// Opens one short flow after another, each with a status check, a filing and a status check.
async fn call_repeatedly(
    class: Class,
    certificate: CertificateDer<'static>,
    until: Instant,
) -> (&'static str, Totals) {
    let mut totals = Totals::new();
    let Ok(caller) = Caller::open(certificate) else {
        totals.broken += 1;
        return (class.name, totals);
    };
    while Instant::now() < until {
        if let Ok(mut flow) = open(&caller, &class, &mut totals).await {
            for filed in [false, true, false] {
                let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
                let call =
                    if filed { filing(&class, number) } else { status_check(&class, number) };
                flow = match call_with_retries(&caller, &class, flow, &call, number, &mut totals)
                    .await
                {
                    Some(flow) => flow,
                    None => open_or_none(&caller, &class, &mut totals).await,
                };
            }
            flow.close_if_open();
        }
        tokio::time::sleep(FLOW_PAUSE).await;
    }
    (class.name, totals)
}

/// A flow, or none after it ended.
struct OptionalFlow(Option<Flow>);

impl OptionalFlow {
    fn close_if_open(self) {
        if let Some(flow) = self.0 {
            flow.close();
        }
    }
}

async fn open(caller: &Caller, class: &Class, totals: &mut Totals) -> Result<OptionalFlow, ()> {
    match caller.flow(class.address).await {
        Ok(flow) => Ok(OptionalFlow(Some(flow))),
        Err(fault) => {
            totals.record_fault("opening", &fault);
            Err(())
        }
    }
}

async fn open_or_none(caller: &Caller, class: &Class, totals: &mut Totals) -> OptionalFlow {
    open(caller, class, totals).await.unwrap_or(OptionalFlow(None))
}

/// Makes one call with retries: a request that certainly did not run is sent again after the delay
/// that the system advises, on a new flow if the old one is closing.
async fn call_with_retries(
    caller: &Caller,
    class: &Class,
    mut held: OptionalFlow,
    call: &Call,
    number: u64,
    totals: &mut Totals,
) -> Option<OptionalFlow> {
    totals.calls += 1;
    for _ in 0..MAX_ATTEMPTS {
        let Some(flow) = &mut held.0 else {
            held = open_or_none(caller, class, totals).await;
            continue;
        };
        let began = Instant::now();
        match flow.call(call).await {
            Ok(answer) if answer.verdict == "not-run" => {
                tokio::time::sleep(answer.retry_after.unwrap_or(FLOW_PAUSE)).await;
                totals.refused += 1;
            }
            Ok(answer) => {
                record_answer(&answer, call, number, began.elapsed(), totals);
                return Some(held);
            }
            Err(Fault::NotAccepted) => held = open_or_none(caller, class, totals).await,
            Err(fault) => {
                totals.record_fault(&call.path, &fault);
                return None;
            }
        }
    }
    totals.faults.push(format!("retries exhausted: {}", call.path));
    Some(held)
}

fn record_answer(answer: &Answer, call: &Call, number: u64, took: Duration, totals: &mut Totals) {
    if answer.verdict == "may-have-run" {
        totals.may_have_run += 1;
        return;
    }
    let expected = match &call.key {
        Some(_) => answer.text == blake3::hash(&call.body).to_hex().to_string(),
        None => answer.text == body::status(number),
    };
    if !expected {
        totals.broken += 1;
        totals.faults.push(format!("{} {}: wrong answer", call.path, answer.status));
        return;
    }
    totals.answered += 1;
    totals.filed.extend(call.key.clone());
    let _ = totals.times.record(u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US));
}

async fn download(class: Class, certificate: CertificateDer<'static>) -> (&'static str, Totals) {
    let mut totals = Totals::new();
    let path = format!("/download?parts={DOWNLOAD_PARTS}");
    let is_complete = |answer: &Answer| answer.hash == body::hash(DOWNLOAD_PARTS);
    call_on_own_flow(&class, certificate, path, is_complete, &mut totals).await;
    (class.name, totals)
}

async fn follow_feed(
    class: Class,
    certificate: CertificateDer<'static>,
    length: Duration,
) -> (&'static str, Totals) {
    let mut totals = Totals::new();
    let lines = u64::try_from(length.as_millis()).unwrap_or_default() / LINE_INTERVAL_MS;
    let path = format!("/feed?lines={lines}&every_ms={LINE_INTERVAL_MS}");
    let is_complete = |answer: &Answer| {
        let mut hasher = body::Hasher::new();
        for index in 0..lines {
            hasher.update(&line(&answer.server, index));
        }
        answer.hash == hasher.finalize().to_hex().to_string()
    };
    if let Some(answer) =
        call_on_own_flow(&class, certificate, path, is_complete, &mut totals).await
    {
        totals.longest_silence = answer.longest_silence;
    }
    (class.name, totals)
}

/// Makes one call with a long answer on a flow of its own.
async fn call_on_own_flow(
    class: &Class,
    certificate: CertificateDer<'static>,
    path: String,
    is_complete: impl Fn(&Answer) -> bool,
    totals: &mut Totals,
) -> Option<Answer> {
    totals.calls += 1;
    let call = Call {
        method: Method::GET,
        path,
        class: class.name.to_owned(),
        key: None,
        body: Bytes::new(),
    };
    let caller = Caller::open(certificate).ok()?;
    let answered = match caller.flow(class.address).await {
        Ok(mut flow) => flow.call(&call).await,
        Err(fault) => Err(fault),
    };
    match answered {
        Ok(answer) if is_complete(&answer) => {
            totals.answered += 1;
            Some(answer)
        }
        Ok(answer) => {
            totals.broken += 1;
            totals
                .faults
                .push(format!("{}: {} of {} bytes", call.path, answer.status, answer.length));
            None
        }
        Err(fault) => {
            totals.record_fault(&call.path, &fault);
            None
        }
    }
}
