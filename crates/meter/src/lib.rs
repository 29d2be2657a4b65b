//! Metrics of one process: counters, gauges and latencies, exported as Prometheus text.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::{Counter, Histogram};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Quantiles exported for each latency, with their label values.
const QUANTILES: &[(f64, &str)] = &[(0.5, "0.5"), (0.99, "0.99"), (0.999, "0.999")];

/// Largest latency that a histogram records, in microseconds; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Longest span that a histogram of spans records, in milliseconds; longer ones are clamped to it.
const MAX_SPAN_MS: u64 = 120_000;

/// Significant digits of spans: a process may record dozens of them, and each more digit takes ten
/// times the memory.
const SPAN_DIGITS: u8 = 2;

type Labels = Vec<(String, String)>;

/// Counters, gauges and latencies by name and label.
#[derive(Debug, Default)]
pub struct Meter {
    values: Mutex<BTreeMap<(&'static str, String), i64>>,
    latencies: Mutex<BTreeMap<(&'static str, String), Histogram<u64>>>,
    spans: Mutex<BTreeMap<(&'static str, String), Histogram<u32>>>,
}

impl Meter {
    /// Increments a counter.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut values = self.values.lock().expect("no holder panics");
        *values.entry((name, label.into())).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn level(&self, name: &'static str, label: &str, value: i64) {
        let mut values = self.values.lock().expect("no holder panics");
        values.insert((name, label.into()), value);
    }

    /// Records a latency.
    pub fn took(&self, name: &'static str, label: &str, latency: Duration) {
        let mut latencies = self.latencies.lock().expect("no holder panics");
        let histogram = latencies.entry((name, label.into())).or_insert_with(new_histogram);
        histogram.saturating_record((latency.as_micros() as u64).max(1));
    }

    /// Records a span in milliseconds.
    pub fn span(&self, name: &'static str, label: &str, millis: u64) {
        let mut spans = self.spans.lock().expect("no holder panics");
        let histogram = spans.entry((name, label.into())).or_insert_with(new_span_histogram);
        histogram.saturating_record(millis.max(1));
    }

    /// A quantile of a latency in microseconds, 0 if none was recorded.
    pub fn quantile(&self, name: &'static str, label: &str, q: f64) -> u64 {
        let latencies = self.latencies.lock().expect("no holder panics");
        latencies.get(&(name, label.into())).map_or(0, |h| h.value_at_quantile(q))
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut registry = Registry::default();
        let mut families: BTreeMap<&str, Family<Labels, Gauge>> = BTreeMap::new();
        for ((name, label), value) in self.values.lock().expect("no holder panics").iter() {
            let family = families.entry(name).or_default();
            family.get_or_create(&labels(label, None)).set(*value);
        }
        for ((name, label), h) in self.latencies.lock().expect("no holder panics").iter() {
            set_quantiles(families.entry(name).or_default(), label, h);
        }
        for ((name, label), h) in self.spans.lock().expect("no holder panics").iter() {
            set_quantiles(families.entry(name).or_default(), label, h);
        }
        for (name, family) in families {
            registry.register(name, "See docs/OPERATING.md", family);
        }
        let mut text = String::new();
        let _ = encode(&mut text, &registry);
        text
    }
}

fn set_quantiles<T: Counter>(family: &Family<Labels, Gauge>, label: &str, h: &Histogram<T>) {
    for (q, text) in QUANTILES {
        let gauge = family.get_or_create(&labels(label, Some(text)));
        gauge.set(h.value_at_quantile(*q) as i64);
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn new_span_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_SPAN_MS, SPAN_DIGITS).expect("the bounds are valid")
}

fn labels(label: &str, quantile: Option<&str>) -> Labels {
    let mut labels = vec![("of".to_string(), label.to_string())];
    labels.extend(quantile.map(|q| ("quantile".to_string(), q.to_string())));
    labels
}
