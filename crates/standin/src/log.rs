//! The stand-in for the log service, with limited retention, outages and lost replies.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use myrtle_base::Millis;
use myrtle_platform::{Entry, HttpRequest, Page, Reply, json, reply, text};

/// The maximum number of records on a page.
const PAGE_SIZE: usize = 512;

/// The behaviour of the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogMode {
    /// It works normally.
    #[default]
    Ok,
    /// It refuses all calls.
    Away,
    /// It executes appends but replies that they failed.
    Lose,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    entries: VecDeque<(Millis, Vec<u8>)>,
}

/// The streams of the log.
#[derive(Debug)]
pub struct Log {
    streams: Mutex<BTreeMap<String, Stream>>,
    mode: Mutex<LogMode>,
    began: (Millis, Instant),
    retained: usize,
    appended: Notify,
    appends: Mutex<(u64, u64)>,
}

impl Log {
    /// Creates an empty log that retains `retained` records of each stream.
    pub fn new(retained: usize) -> Self {
        Self {
            streams: Mutex::default(),
            mode: Mutex::default(),
            began: (wall_clock(), Instant::now()),
            retained,
            appended: Notify::new(),
            appends: Mutex::default(),
        }
    }

    /// Changes the behaviour.
    pub fn set(&self, mode: LogMode) {
        *self.mode.lock().expect("no holder panics") = mode;
        self.appended.notify_waiters();
    }

    /// The numbers of appends and of appended bytes so far.
    pub fn appends(&self) -> (u64, u64) {
        *self.appends.lock().expect("no holder panics")
    }

    /// Handles a request.
    pub async fn handle(&self, ask: HttpRequest) -> Reply {
        let Some(name) = ask.path.strip_prefix("/streams/") else {
            return text(404, "unknown path; only /streams/ exists");
        };
        if self.mode() == LogMode::Away {
            return text(503, "log unavailable");
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

    fn append(&self, name: &str, ask: &HttpRequest) -> Reply {
        let mut streams = self.streams.lock().expect("no holder panics");
        let stream = streams.entry(name.into()).or_default();
        stream.entries.push_back((self.now(), ask.body.to_vec()));
        while stream.entries.len() > self.retained {
            stream.entries.pop_front();
            stream.first += 1;
        }
        let offset = stream.first + stream.entries.len() as u64 - 1;
        drop(streams);
        let mut appends = self.appends.lock().expect("no holder panics");
        appends.0 += 1;
        appends.1 += ask.body.len() as u64;
        drop(appends);
        self.appended.notify_waiters();
        if self.mode() == LogMode::Lose {
            return text(500, "the append failed");
        }
        json(&offset)
    }

    async fn read(&self, name: &str, ask: &HttpRequest) -> Reply {
        let number = |key| ask.param(key).and_then(|v| v.parse::<u64>().ok()).unwrap_or_default();
        let (from, wait) = (number("from"), Duration::from_millis(number("wait_ms")));
        let end = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            match self.page(name, from) {
                Err(first) => return text(410, first.to_string()),
                Ok(page) if !page.entries.is_empty() => return bytes(&page),
                Ok(page) if Instant::now() >= end => return bytes(&page),
                Ok(_) => {}
            }
            let _ = tokio::time::timeout_at(end, appended).await;
            if self.mode() == LogMode::Away {
                return text(503, "log unavailable");
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
        let entries = stream.entries.iter().enumerate().skip(skip).take(PAGE_SIZE);
        let entries = entries.map(|(n, (time, data))| Entry {
            offset: stream.first + n as u64,
            time: *time,
            data: data.clone(),
        });
        let more = stream.entries.len() > skip + PAGE_SIZE;
        Ok(Page { entries: entries.collect(), time, more })
    }
}

fn wall_clock() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}

fn bytes(page: &Page) -> Reply {
    reply(200, "application/octet-stream", postcard::to_stdvec(page).unwrap_or_default())
}
