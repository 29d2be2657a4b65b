//! A small deployment on loopback: front hosts as separate processes, a store, clients, and a record of what they see.

pub mod worker;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use myrtle_platform::{HttpRequest, Reply, serve, text};
use myrtle_standin::Store;

/// The host name of the queue.
pub const QUEUE: &str = "q.example";

/// The exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

/// The longest wait for a host to become ready.
const READY_LIMIT: Duration = Duration::from_secs(25);

/// When a run that has not ended counts as one that could not be carried out.
const LONGEST: Duration = Duration::from_secs(112);

/// The front hosts that were started, and the temporary folder.
static STARTED: Mutex<(Vec<i32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Kills all front hosts that were started and have not been waited for, and removes the temporary folder.
///
/// Should this process itself be killed, the kernel kills them: each asks for that at its start.
fn clean_up() {
    let started = STARTED.lock().unwrap_or_else(|e| e.into_inner());
    for &pid in &started.0 {
        let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
    }
    if let Some(dir) = started.1.as_ref().filter(|_| std::env::var_os("KEEP").is_none()) {
        let _ = std::fs::remove_dir_all(dir);
    }
}

/// Ends the run as one that could not be carried out when a thread panics or the process is told to end.
fn end_when_told(record: &Arc<Record>) {
    let (of_panic, of_signal) = (record.clone(), record.clone());
    std::panic::set_hook(Box::new(move |info| not_run(&of_panic, &info.to_string())));
    tokio::spawn(async move {
        let mut terminate = signal(SignalKind::terminate()).unwrap();
        let mut interrupt = signal(SignalKind::interrupt()).unwrap();
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        not_run(&of_signal, "it was told to end")
    });
}

/// Whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run, with times in milliseconds since its start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Writes a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>6} ms  {}", line.as_ref());
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Ends the run as one that could not be carried out.
pub fn not_run(record: &Record, why: &str) -> ! {
    // A panic may hold the record.
    if let Ok(mut file) = record.file.try_lock() {
        let _ = writeln!(file, "NOT RUN: {why}");
    }
    eprintln!("not run: {why}");
    clean_up();
    std::process::exit(NOT_RUN)
}

/// A front host in its own process.
pub struct Front {
    /// Its address for clients.
    pub clients: SocketAddr,
    /// Its address for readiness checks.
    pub checks: SocketAddr,
    process: Child,
}

impl Front {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.process.id() as i32), signal);
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)) | Err(_))
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let pid = self.process.id() as i32;
        STARTED.lock().unwrap_or_else(|e| e.into_inner()).0.retain(|other| *other != pid);
    }
}

/// The time limits and services in the settings of front hosts.
#[derive(Clone)]
pub struct Bounds {
    /// The longest lease of a worker, in milliseconds.
    pub hold: u64,
    /// The longest stop of a run, the longest time over a latency target and the time without the store after which a
    /// host is out of contact, in milliseconds.
    pub stop_harm_contact: [u64; 3],
    /// How long the state of a job is kept, in seconds.
    pub status: u64,
    /// Further lines of the settings.
    pub more: String,
    /// Every data centre; the hosts are in them in turn.
    pub centres: Vec<String>,
    /// The host's share of a core and its link, in megabits a second.
    pub capacity: (f64, f64),
}

impl Default for Bounds {
    fn default() -> Self {
        let (more, centres) = (String::new(), vec!["d".into()]);
        let stop_harm_contact = [900, 4_000, 3_000];
        Self {
            hold: 10_000,
            stop_harm_contact,
            status: 120,
            more,
            centres,
            capacity: (0.25, 1000.0),
        }
    }
}

/// What the store's server does with a request instead of passing it to the store.
pub type Hook = dyn Fn(&HttpRequest) -> Option<Reply> + Send + Sync;

/// The deployment.
pub struct Lab {
    /// The record of the run.
    pub record: Arc<Record>,
    /// The store.
    pub store: Arc<Store>,
    /// The front hosts by name.
    pub fronts: BTreeMap<String, Front>,
    /// The settings of front hosts.
    pub bounds: Bounds,
    store_at: SocketAddr,
    program: PathBuf,
    dir: PathBuf,
    next_ip: u8,
}

impl Lab {
    /// Starts the store; `hook` may answer its requests in its place.
    pub async fn start(bounds: Bounds, hook: Arc<Hook>) -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).expect("the record can be written");
        let record = Arc::new(Record { file: Mutex::new(file), began: Instant::now() });
        let program = PathBuf::from(std::env::var("FRONT").expect("FRONT names the program"));
        if !program.exists() {
            not_run(&record, "the program of the deploy file is not built");
        }
        end_when_told(&record);
        let watched = record.clone();
        tokio::spawn(async move {
            let longest = std::env::var("LONGEST").ok().and_then(|s| s.parse().ok());
            sleep(longest.map_or(LONGEST, Duration::from_secs)).await;
            not_run(&watched, "the run did not end in time");
        });
        let dir = std::env::temp_dir().join(format!("review-lab-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        STARTED.lock().unwrap().1 = Some(dir.clone());
        let store = Arc::new(Store::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store_at = listener.local_addr().unwrap();
        let served = store.clone();
        tokio::spawn(serve(listener, move |ask: HttpRequest| {
            let (store, hook) = (served.clone(), hook.clone());
            async move {
                match hook(&ask) {
                    Some(reply) => reply,
                    None => store.handle(ask).await,
                }
            }
        }));
        let fronts = BTreeMap::new();
        Self { record, store, fronts, bounds, store_at, program, dir, next_ip: 1 }
    }

    /// Writes a configuration with one queue of one service.
    pub fn configure(&self, version: u64, edit: impl Fn(&mut Value)) {
        let mut config = json!({ "version": version, "routes": [{ "name": "r", "host": QUEUE,
            "path_prefix": "/p/", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
            "service": "s", "max_attempts": 3, "stretch": 2.0 }],
            "services": [{ "name": "s", "rejects_overload": true }],
            "limits": { "max_body_bytes": 262144 } });
        edit(&mut config);
        self.store.put("keyed.op", "config", config.to_string().as_bytes());
        self.record.note(format!("operator: config version {version} written and acknowledged"));
    }

    /// Starts a front host on a loopback address of its own and waits until it is ready.
    pub async fn front(&mut self, name: &str) {
        self.begin_front(name);
        self.wait_ready(name).await;
    }

    /// Starts a front host.
    pub fn begin_front(&mut self, name: &str) {
        let pid = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 128 + pid[2] % 64, pid[3], self.next_ip);
        self.next_ip += 1;
        let Bounds { hold, status, more, centres, capacity: (share, link), .. } = &self.bounds;
        let [stop, harm, contact] = self.bounds.stop_harm_contact;
        let centre = &centres[self.fronts.len() % centres.len()];
        let all: String = centres.iter().map(|centre| format!("  - {centre}\n")).collect();
        let text = format!(
            "name: {name}\ndata_centre: {centre}\ndata_centres:\n{all}clients: \"{ip}:8161\"\nchecks: \"{ip}:8167\"\n\
             ip: {ip}\npeer_port: 7720\nmetrics: \"{ip}:9464\"\nstore: \"{}\"\ncells: auto\nparts: 24\n\
             capacity:\n  share: {share}\n  cores: 1\n  link: {link}\nmember_ttl: 1000\n{more}bounds:\n  hold: {hold}\n  \
             stop: {stop}\n  harm: {harm}\n  status: {status}\n  grace: 6\n  contact: {contact}\n",
            self.store_at
        );
        let path = self.dir.join(format!("{name}-{}.yaml", self.next_ip));
        std::fs::write(&path, text).unwrap();
        let log = File::create(self.dir.join(format!("{name}-{}.log", self.next_ip))).unwrap();
        let mut command = Command::new(&self.program);
        command.env("MYRTLEPOST_CONFIG", &path).stdout(Stdio::from(log)).stderr(Stdio::null());
        // SAFETY: only a system call, which may be made between fork and exec.
        unsafe { command.pre_exec(|| Ok(set_pdeathsig(Signal::SIGKILL)?)) };
        let process = command.spawn();
        let Ok(process) = process else { not_run(&self.record, "a front host did not start") };
        STARTED.lock().unwrap().0.push(process.id() as i32);
        let at = |port| SocketAddr::from((ip, port));
        let front = Front { clients: at(8161), checks: at(8167), process };
        self.record.note(format!("platform: front {name} started"));
        self.fronts.insert(name.into(), front);
    }

    /// Waits until a front host is ready.
    pub async fn wait_ready(&mut self, name: &str) {
        let end = Instant::now() + READY_LIMIT;
        loop {
            let front = self.fronts.get_mut(name).unwrap();
            if front.ended() {
                not_run(&self.record, "a front host ended at its start");
            }
            if call(front.checks, "GET", "/api/readiness", "").await.0 == 200 {
                break;
            }
            if Instant::now() > end {
                not_run(&self.record, "a front host was not ready in time");
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.record.note(format!("platform: front {name} is ready"));
    }

    /// The front host that owns cell 0, by the store.
    pub fn owner(&self) -> Option<String> {
        let rows = self.store.owners("cell-0");
        let member = rows.into_iter().find(|(part, _)| *part == 0)?.1;
        let named = |name: &&String| {
            member.strip_prefix(name.as_str()).is_some_and(|rest| rest.starts_with('-'))
        };
        self.fronts.keys().find(named).cloned()
    }

    /// Waits until cell 0 has an owner.
    pub async fn wait_owner(&self) -> String {
        let end = Instant::now() + READY_LIMIT;
        loop {
            if let Some(name) = self.owner() {
                return name;
            }
            if Instant::now() > end {
                not_run(&self.record, "no front host owns the cell");
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Makes a consumer's call at a front host and records it.
    pub async fn consumer(
        &self,
        front: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let at = self.fronts[front].clients;
        let (status, answer) = call(at, method, path, body).await;
        let shown: String = body.chars().take(300).collect();
        self.record.note(format!(
            "consumer: {method} {path} {shown} at {front} -> {status} {}",
            answer.trim()
        ));
        (status, answer)
    }

    /// Ends all front hosts and removes the temporary folder, unless `KEEP` is set.
    pub fn end(mut self) {
        self.fronts.clear();
        if std::env::var_os("KEEP").is_some() {
            eprintln!("kept: {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// No hook.
pub fn no_hook() -> Arc<Hook> {
    Arc::new(|_| None)
}

/// The store's answer while it refuses.
pub fn busy() -> Reply {
    text(503, "busy")
}

/// Makes an HTTP call; status 0 without an answer within 4 s.
pub async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let exchange = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {QUEUE}\r\ncontent-type: application/json\r\ndeadline-ms: 3000\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        Some((status, body.to_string()))
    };
    timeout(Duration::from_secs(4), exchange).await.ok().flatten().unwrap_or_default()
}
