//! The log service: offsets, limited retention, outages, lost answers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use myrtle_base::Millis;
use myrtle_platform::{Answer, Ask, Entry, Page, answer, json, text};

/// Records on one page.
const PAGE: usize = 512;

/// What the log does to its callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogMode {
    /// It works.
    #[default]
    Ok,
    /// It refuses everything.
    Away,
    /// It takes appends in and then says that it failed.
    Lose,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    entries: VecDeque<(Millis, Vec<u8>)>,
}

/// All streams.
#[derive(Debug)]
pub struct Log {
    streams: Mutex<BTreeMap<String, Stream>>,
    mode: Mutex<LogMode>,
    began: (Millis, Instant),
    kept: usize,
    grown: Notify,
    appends: Mutex<(u64, u64)>,
}

impl Log {
    /// An empty log that keeps `kept` records of each stream.
    pub fn new(kept: usize) -> Self {
        Self {
            streams: Mutex::default(),
            mode: Mutex::default(),
            began: (wall(), Instant::now()),
            kept,
            grown: Notify::new(),
            appends: Mutex::default(),
        }
    }

    /// Changes what it does to its callers.
    pub fn set(&self, mode: LogMode) {
        *self.mode.lock().expect("no holder panics") = mode;
        self.grown.notify_waiters();
    }

    /// Appends and bytes taken in so far.
    pub fn appends(&self) -> (u64, u64) {
        *self.appends.lock().expect("no holder panics")
    }

    /// Answers a call.
    pub async fn handle(&self, ask: Ask) -> Answer {
        let Some(name) = ask.path.strip_prefix("/streams/") else {
            return text(404, "the log has streams only");
        };
        if self.mode() == LogMode::Away {
            return text(503, "the log is away");
        }
        if ask.method == hyper::Method::POST {
            return self.append(name, &ask);
        }
        self.read(name, &ask).await
    }

    fn mode(&self) -> LogMode {
        *self.mode.lock().expect("no holder panics")
    }

    fn now(&self) -> Millis {
        let (wall, at) = self.began;
        wall + at.elapsed().into()
    }

    fn append(&self, name: &str, ask: &Ask) -> Answer {
        let mut streams = self.streams.lock().expect("no holder panics");
        let stream = streams.entry(name.into()).or_default();
        stream.entries.push_back((self.now(), ask.body.to_vec()));
        while stream.entries.len() > self.kept {
            stream.entries.pop_front();
            stream.first += 1;
        }
        let offset = stream.first + stream.entries.len() as u64 - 1;
        drop(streams);
        let mut appends = self.appends.lock().expect("no holder panics");
        appends.0 += 1;
        appends.1 += ask.body.len() as u64;
        drop(appends);
        self.grown.notify_waiters();
        if self.mode() == LogMode::Lose {
            return text(500, "the append failed");
        }
        json(&offset)
    }

    async fn read(&self, name: &str, ask: &Ask) -> Answer {
        let number = |key| ask.param(key).and_then(|v| v.parse::<u64>().ok()).unwrap_or_default();
        let (from, wait) = (number("from"), Duration::from_millis(number("wait_ms")));
        let end = Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            match self.page(name, from) {
                Err(first) => return text(410, first.to_string()),
                Ok(page) if !page.entries.is_empty() => return bytes(&page),
                Ok(page) if Instant::now() >= end => return bytes(&page),
                Ok(_) => {}
            }
            let _ = tokio::time::timeout_at(end, grown).await;
            if self.mode() == LogMode::Away {
                return text(503, "the log is away");
            }
        }
    }

    fn page(&self, name: &str, from: u64) -> Result<Page, u64> {
        let streams = self.streams.lock().expect("no holder panics");
        let time = self.now();
        let Some(stream) = streams.get(name) else {
            return Ok(Page { time, ..Page::default() });
        };
        if from < stream.first {
            return Err(stream.first);
        }
        let skip = (from - stream.first) as usize;
        let entries = stream.entries.iter().enumerate().skip(skip).take(PAGE);
        let entries = entries.map(|(n, (time, data))| Entry {
            offset: stream.first + n as u64,
            time: *time,
            data: data.clone(),
        });
        let more = stream.entries.len() > skip + PAGE;
        Ok(Page { entries: entries.collect(), time, more })
    }
}

fn wall() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}

fn bytes(page: &Page) -> Answer {
    answer(200, "application/octet-stream", postcard::to_stdvec(page).unwrap_or_default())
}
