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

use super::bench::CLASSES;
pub(crate) use super::bench::Class;
use crate::body;
use crate::caller::{Answer, Call, Caller, Fault, Flow};
use crate::standin::backend::line;

/// Number of callers of each class that open one short flow after another.
const CALLERS: usize = 12;
/// Pause of a caller between two flows, and before a retry without advice from the system.
const BETWEEN: Duration = Duration::from_millis(40);
/// Parts of the download: 64 MiB.
const DOWNLOAD_PARTS: usize = 1_024;
/// Time between two lines of the feed, in milliseconds.
const LINE_EVERY_MS: u64 = 100;
/// Time limit for both classes to be served.
const SERVED_WITHIN: Duration = Duration::from_secs(20);
/// Maximum number of attempts for one call.
const TRIES: usize = 6;
/// Highest latency that the histograms record, in microseconds.
const MOST_US: u64 = 60_000_000;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Results of the callers of one class.
#[derive(Debug)]
pub(crate) struct Seen {
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

impl Seen {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(1, MOST_US, 3);
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

    fn add(&mut self, other: Self) {
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

    fn fault(&mut self, what: &str, fault: &Fault) {
        match fault {
            Fault::NotOpened(_) => self.not_opened += 1,
            Fault::Goodbye => self.refused += 1,
            Fault::Broken(_) => self.broken += 1,
        }
        let at = self.began.elapsed().as_secs_f64();
        self.faults.push(format!("{at:.1}s {what}: {fault}"));
    }
}

/// Results of all callers, by class.
pub(crate) type Results = BTreeMap<&'static str, Seen>;

/// Running callers.
pub(crate) struct Calls {
    tasks: JoinSet<(&'static str, Seen)>,
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
                tasks.spawn(call_often(class.clone(), certificate.clone(), until));
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
                if let Ok((class, seen)) = ended {
                    results.entry(class).or_insert_with(Seen::new).add(seen);
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
    let until = Instant::now() + SERVED_WITHIN;
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
async fn call_often(
    class: Class,
    certificate: CertificateDer<'static>,
    until: Instant,
) -> (&'static str, Seen) {
    let mut seen = Seen::new();
    let Ok(caller) = Caller::open(certificate) else {
        seen.broken += 1;
        return (class.name, seen);
    };
    while Instant::now() < until {
        if let Ok(mut flow) = open(&caller, &class, &mut seen).await {
            for filed in [false, true, false] {
                let number = NEXT.fetch_add(1, Ordering::Relaxed);
                let call =
                    if filed { filing(&class, number) } else { status_check(&class, number) };
                flow = match settle(&caller, &class, flow, &call, number, &mut seen).await {
                    Some(flow) => flow,
                    None => break_open(&caller, &class, &mut seen).await,
                };
            }
            flow.close_if_open();
        }
        tokio::time::sleep(BETWEEN).await;
    }
    (class.name, seen)
}

/// A flow, or none after it ended.
struct Held(Option<Flow>);

impl Held {
    fn close_if_open(self) {
        if let Some(flow) = self.0 {
            flow.close();
        }
    }
}

async fn open(caller: &Caller, class: &Class, seen: &mut Seen) -> Result<Held, ()> {
    match caller.flow(class.address).await {
        Ok(flow) => Ok(Held(Some(flow))),
        Err(fault) => {
            seen.fault("opening", &fault);
            Err(())
        }
    }
}

async fn break_open(caller: &Caller, class: &Class, seen: &mut Seen) -> Held {
    open(caller, class, seen).await.unwrap_or(Held(None))
}

/// Makes one call with retries: a request that certainly did not run is sent again after the delay
/// that the system advises, on a new flow if the old one is closing.
async fn settle(
    caller: &Caller,
    class: &Class,
    mut held: Held,
    call: &Call,
    number: u64,
    seen: &mut Seen,
) -> Option<Held> {
    seen.calls += 1;
    for _ in 0..TRIES {
        let Some(flow) = &mut held.0 else {
            held = break_open(caller, class, seen).await;
            continue;
        };
        let began = Instant::now();
        match flow.call(call).await {
            Ok(answer) if answer.verdict == "not-run" => {
                tokio::time::sleep(answer.retry_after.unwrap_or(BETWEEN)).await;
                seen.refused += 1;
            }
            Ok(answer) => {
                note(&answer, call, number, began.elapsed(), seen);
                return Some(held);
            }
            Err(Fault::Goodbye) => held = break_open(caller, class, seen).await,
            Err(fault) => {
                seen.fault(&call.path, &fault);
                return None;
            }
        }
    }
    seen.faults.push(format!("retries exhausted: {}", call.path));
    Some(held)
}

fn note(answer: &Answer, call: &Call, number: u64, took: Duration, seen: &mut Seen) {
    if answer.verdict == "may-have-run" {
        seen.may_have_run += 1;
        return;
    }
    let expected = match &call.key {
        Some(_) => answer.text == blake3::hash(&call.body).to_hex().to_string(),
        None => answer.text == body::status(number),
    };
    if !expected {
        seen.broken += 1;
        seen.faults.push(format!("{} {}: wrong answer", call.path, answer.status));
        return;
    }
    seen.answered += 1;
    seen.filed.extend(call.key.clone());
    let _ = seen.times.record(u64::try_from(took.as_micros()).unwrap_or(MOST_US));
}

async fn download(class: Class, certificate: CertificateDer<'static>) -> (&'static str, Seen) {
    let mut seen = Seen::new();
    let path = format!("/download?parts={DOWNLOAD_PARTS}");
    let whole = |answer: &Answer| answer.hash == body::hash(DOWNLOAD_PARTS);
    follow(&class, certificate, path, whole, &mut seen).await;
    (class.name, seen)
}

async fn follow_feed(
    class: Class,
    certificate: CertificateDer<'static>,
    length: Duration,
) -> (&'static str, Seen) {
    let mut seen = Seen::new();
    let lines = u64::try_from(length.as_millis()).unwrap_or_default() / LINE_EVERY_MS;
    let path = format!("/feed?lines={lines}&every_ms={LINE_EVERY_MS}");
    let whole = |answer: &Answer| {
        let mut hasher = body::Hasher::new();
        for index in 0..lines {
            hasher.update(&line(&answer.server, index));
        }
        answer.hash == hasher.finalize().to_hex().to_string()
    };
    if let Some(answer) = follow(&class, certificate, path, whole, &mut seen).await {
        seen.longest_silence = answer.longest_silence;
    }
    (class.name, seen)
}

/// Makes one call with a long answer on a flow of its own.
async fn follow(
    class: &Class,
    certificate: CertificateDer<'static>,
    path: String,
    whole: impl Fn(&Answer) -> bool,
    seen: &mut Seen,
) -> Option<Answer> {
    seen.calls += 1;
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
        Ok(answer) if whole(&answer) => {
            seen.answered += 1;
            Some(answer)
        }
        Ok(answer) => {
            seen.broken += 1;
            seen.faults
                .push(format!("{}: {} of {} bytes", call.path, answer.status, answer.length));
            None
        }
        Err(fault) => {
            seen.fault(&call.path, &fault);
            None
        }
    }
}
