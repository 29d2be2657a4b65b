//! Figures of one process: counts, levels and latencies, told as Prometheus text.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The quantiles that are told of each latency.
const QUANTILES: &[(f64, &str)] = &[(0.5, "0.5"), (0.99, "0.99"), (0.999, "0.999")];

/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;

type Labels = Vec<(String, String)>;

/// Counts, levels and latencies by name and label.
#[derive(Debug, Default)]
pub struct Meter {
    levels: Mutex<BTreeMap<(&'static str, String), i64>>,
    latencies: Mutex<BTreeMap<(&'static str, String), Histogram<u64>>>,
}

impl Meter {
    /// Adds one to a count.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut levels = self.levels.lock().expect("no holder panics");
        *levels.entry((name, label.into())).or_default() += 1;
    }

    /// Sets a level.
    pub fn level(&self, name: &'static str, label: &str, value: i64) {
        let mut levels = self.levels.lock().expect("no holder panics");
        levels.insert((name, label.into()), value);
    }

    /// Takes in a latency.
    pub fn took(&self, name: &'static str, label: &str, took: Duration) {
        let mut latencies = self.latencies.lock().expect("no holder panics");
        let histogram = latencies.entry((name, label.into())).or_insert_with(fresh);
        histogram.saturating_record((took.as_micros() as u64).max(1));
    }

    /// A quantile of a latency in microseconds, 0 if there is none.
    pub fn quantile(&self, name: &'static str, label: &str, q: f64) -> u64 {
        let latencies = self.latencies.lock().expect("no holder panics");
        latencies.get(&(name, label.into())).map_or(0, |h| h.value_at_quantile(q))
    }

    /// All figures as Prometheus text.
    pub fn text(&self) -> String {
        let mut registry = Registry::default();
        let mut families: BTreeMap<&str, Family<Labels, Gauge>> = BTreeMap::new();
        for ((name, label), value) in self.levels.lock().expect("no holder panics").iter() {
            let family = families.entry(name).or_default();
            family.get_or_create(&labels(label, None)).set(*value);
        }
        for ((name, label), h) in self.latencies.lock().expect("no holder panics").iter() {
            let family = families.entry(name).or_default();
            for (q, text) in QUANTILES {
                let gauge = family.get_or_create(&labels(label, Some(text)));
                gauge.set(h.value_at_quantile(*q) as i64);
            }
        }
        for (name, family) in families {
            registry.register(name, "See docs/OPERATING.md", family);
        }
        let mut text = String::new();
        let _ = encode(&mut text, &registry);
        text
    }
}

fn fresh() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST, 3).expect("the bounds are valid")
}

fn labels(label: &str, quantile: Option<&str>) -> Labels {
    let mut labels = vec![("of".to_string(), label.to_string())];
    labels.extend(quantile.map(|q| ("quantile".to_string(), q.to_string())));
    labels
}
