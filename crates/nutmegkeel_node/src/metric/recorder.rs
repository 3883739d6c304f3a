//! The recorder behind the metrics macros, and the text that it renders.
//!
//! Guards against two problems of the exporter's own recorder. When created, it calibrates the
//! processor's clock for 200 ms, which delays the start of each process: clients wait longer for
//! service after a loss of power. And it keeps every sample of a histogram until the metrics are
//! read, so that the memory of a process whose metrics are not read grows with its traffic. This
//! recorder creates no clock and keeps counts per bucket.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};

use metrics::atomics::AtomicU64;
use metrics::{
    Counter, Gauge, HistogramFn, Key, KeyName, Metadata, Recorder, SetRecorderError, SharedString,
    Unit,
};
use metrics_exporter_prometheus::formatting::{key_to_parts, write_metric_line, write_type_line};
use metrics_util::registry::{Registry, Storage};
use metrics_util::storage::Histogram;

use super::BUCKETS;
use crate::lock::lock;

/// Storage of the metrics.
#[derive(Debug)]
struct Cells;

impl Storage<Key> for Cells {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<Buckets>;

    fn counter(&self, _: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, _: &Key) -> Self::Histogram {
        Arc::default()
    }
}

/// Counts of a histogram; none before its first sample.
#[derive(Debug, Default)]
struct Buckets(Mutex<Option<Histogram>>);

impl Buckets {
    fn lock(&self) -> MutexGuard<'_, Option<Histogram>> {
        lock(&self.0)
    }
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let mut histogram = self.lock();
        if histogram.is_none() {
            *histogram = Histogram::new(&BUCKETS);
        }
        if let Some(histogram) = histogram.as_mut() {
            histogram.record(value);
        }
    }
}

/// The metrics of this process.
#[derive(Clone, Debug)]
pub struct Handle {
    registry: Arc<Registry<Key, Cells>>,
}

impl Handle {
    /// Installs the recorder of this process.
    ///
    /// # Errors
    /// When the process already has one.
    pub(super) fn install() -> Result<Self, SetRecorderError<Self>> {
        let handle = Self::open();
        metrics::set_global_recorder(handle.clone())?;
        Ok(handle)
    }

    /// Creates an empty recorder that is not installed.
    #[must_use]
    pub fn open() -> Self {
        Self { registry: Arc::new(Registry::new(Cells)) }
    }

    /// Returns all metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        let counters = self.registry.get_counter_handles();
        let counters = counters.into_iter().map(|(key, cell)| (key, cell.load(Ordering::Relaxed)));
        write_values(&mut text, "counter", counters);
        let gauges = self.registry.get_gauge_handles();
        let gauges = gauges
            .into_iter()
            .map(|(key, cell)| (key, f64::from_bits(cell.load(Ordering::Relaxed))));
        write_values(&mut text, "gauge", gauges);
        let histograms = self.registry.get_histogram_handles().into_iter();
        let histograms =
            histograms.filter_map(|(key, buckets)| Some((key, buckets.lock().clone()?)));
        for (name, series) in by_name(histograms) {
            write_type_line(&mut text, &name, "histogram");
            for (labels, histogram) in series {
                write_histogram(&mut text, &name, &labels, &histogram);
            }
        }
        text
    }
}

impl Recorder for Handle {
    // docs/METRICS.md describes the metrics.
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.registry.get_or_create_counter(key, |cell| Counter::from_arc(Arc::clone(cell)))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.registry.get_or_create_gauge(key, |cell| Gauge::from_arc(Arc::clone(cell)))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> metrics::Histogram {
        self.registry.get_or_create_histogram(key, |buckets| {
            metrics::Histogram::from_arc(Arc::clone(buckets))
        })
    }
}

/// Sorts series by metric and labels: all lines of a metric must be adjacent.
fn by_name<T>(
    series: impl Iterator<Item = (Key, T)>,
) -> BTreeMap<String, BTreeMap<Vec<String>, T>> {
    let mut sorted: BTreeMap<String, BTreeMap<Vec<String>, T>> = BTreeMap::new();
    for (key, value) in series {
        let (name, labels) = key_to_parts(&key, None);
        sorted.entry(name).or_default().insert(labels, value);
    }
    sorted
}

fn write_values<T: std::fmt::Display>(
    text: &mut String,
    kind: &str,
    series: impl Iterator<Item = (Key, T)>,
) {
    for (name, series) in by_name(series) {
        write_type_line(text, &name, kind);
        for (labels, value) in series {
            write_metric_line::<&str, T>(text, &name, None, &labels, None, value, None);
        }
    }
}

fn write_histogram(text: &mut String, name: &str, labels: &[String], histogram: &Histogram) {
    for (bound, count) in histogram.buckets() {
        let bound = Some(("le", bound));
        write_metric_line(text, name, Some("bucket"), labels, bound, count, None);
    }
    let (all, count) = (Some(("le", "+Inf")), histogram.count());
    write_metric_line(text, name, Some("bucket"), labels, all, count, None);
    write_metric_line::<&str, f64>(text, name, Some("sum"), labels, None, histogram.sum(), None);
    write_metric_line::<&str, u64>(text, name, Some("count"), labels, None, count, None);
}
