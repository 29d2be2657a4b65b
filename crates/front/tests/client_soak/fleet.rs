//! The hosts of a site as processes, which a platform stops, starts again and checks.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::{sleep, timeout};

use crate::common::{own_ip, status};
use crate::settings::settings;

/// The data centres with their numbers of hosts.
pub const CENTRES: [(&str, usize); 3] = [("d", 3), ("e", 3), ("f", 2)];

/// The time between the signal to stop and the kill.
const GRACE: Duration = Duration::from_secs(6);

/// The time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The time between two checks for processes that ended.
const POLL: Duration = Duration::from_millis(10);

/// The time between two readiness checks.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// The number of failed checks after which a host gets no new connections.
const MAX_MISSES: u32 = 2;

/// The time in which all hosts have to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// What hosts log; the end of connections is logged at the lowest level.
const LOG_LEVELS: &str = "info,tarpc=error,myrtle_front::listen=debug";

/// What happened to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Its process started.
    Started,
    /// It was sent a signal.
    Signal(Signal),
    /// It was killed as it had not ended within the grace.
    Overdue,
    /// Its process ended.
    Ended,
}

/// A host of the site.
pub struct FleetHost {
    /// Its name, which stays when its process is started again.
    pub name: String,
    /// Its data centre.
    pub centre: &'static str,
    /// Its address for clients.
    pub clients: SocketAddr,
    checks: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    process: Option<Child>,
    stopped_at: Option<Instant>,
    misses: u32,
    events: Vec<(Instant, Event)>,
    /// The ends that nothing had caused.
    own_ends: Vec<ExitStatus>,
    /// Whether the site has ended, so that nothing is started again.
    closed: bool,
}

/// The hosts of a site; they end with it.
pub struct Fleet(pub Vec<Arc<FleetHost>>);

/// A port that no other fleet of this process uses.
fn next_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(12_000);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

impl Fleet {
    /// Starts all hosts, with settings and logs in a folder, and waits until they are ready.
    pub async fn start(store: SocketAddr, folder: &Path) -> Self {
        let mut hosts = Vec::new();
        for (centre, count) in CENTRES {
            for _ in 0..count {
                let name = format!("h{}", hosts.len() + 1);
                hosts.push(FleetHost::new(name, centre, store, folder));
            }
        }
        for host in &hosts {
            host.spawn();
            tokio::spawn(host.clone().keep());
            tokio::spawn(host.clone().check());
        }
        let fleet = Self(hosts);
        fleet.wait_ready().await;
        fleet
    }

    /// Waits until all hosts are ready.
    pub async fn wait_ready(&self) {
        let ready = async {
            for host in &self.0 {
                while status(host.checks, "/api/readiness").await != 200 {
                    sleep(POLL).await;
                }
            }
        };
        timeout(READY_LIMIT, ready).await.expect("the hosts were not ready in time");
    }

    /// The host to which the platform passes a new connection of a client in a data centre; `draw` decides among equals.
    pub fn route(&self, centre: &str, draw: usize) -> Arc<FleetHost> {
        let of_centre: Vec<_> = self.0.iter().filter(|h| h.centre == centre).collect();
        let usable: Vec<_> = of_centre.iter().filter(|h| h.in_rotation()).copied().collect();
        let others: Vec<_> = self.0.iter().filter(|h| h.in_rotation()).collect();
        let chosen = match usable.len() {
            0 if !others.is_empty() => others,
            n if n * 2 < of_centre.len() => of_centre,
            _ => usable,
        };
        chosen[draw % chosen.len()].clone()
    }

    /// The host of a name.
    pub fn named(&self, name: &str) -> Option<Arc<FleetHost>> {
        self.0.iter().find(|host| host.name == name).cloned()
    }

    /// The hosts that ended without a cause, with the manner.
    pub fn own_ends(&self) -> Vec<(String, ExitStatus)> {
        let of = |host: &Arc<FleetHost>| {
            let ends = host.state.lock().unwrap().own_ends.clone();
            ends.into_iter().map(|end| (host.name.clone(), end)).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(of).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &self.0 {
            let mut state = host.state.lock().unwrap();
            state.closed = true;
            if let Some(mut process) = state.process.take() {
                // It may have ended already.
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

impl FleetHost {
    fn new(name: String, centre: &'static str, store: SocketAddr, folder: &Path) -> Arc<Self> {
        let ports = [next_port(), next_port(), next_port()];
        let at = |port| SocketAddr::from((own_ip(), port));
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings(&name, centre, store, ports)).unwrap();
        let log = folder.join(format!("{name}.log"));
        Arc::new(Self {
            name,
            centre,
            clients: at(ports[0]),
            checks: at(ports[1]),
            settings: path,
            log,
            state: Mutex::default(),
        })
    }

    /// Sends a signal, if the process runs; SIGTERM only once.
    pub fn signal(&self, signal: Signal) {
        let mut state = self.state.lock().unwrap();
        let repeated = signal == Signal::SIGTERM && state.stopped_at.is_some();
        let Some(process) = state.process.as_ref().filter(|_| !repeated) else {
            return;
        };
        // What the signal causes comes after this time.
        let now = Instant::now();
        // It may have ended by now.
        let _ = kill(Pid::from_raw(process.id() as i32), signal);
        state.events.push((now, Event::Signal(signal)));
        if signal == Signal::SIGTERM {
            state.stopped_at = Some(now);
        }
    }

    /// What happened to it, in order of time.
    pub fn events(&self) -> Vec<(Instant, Event)> {
        self.state.lock().unwrap().events.clone()
    }

    fn in_rotation(&self) -> bool {
        self.state.lock().unwrap().misses < MAX_MISSES
    }

    fn spawn(&self) {
        let mut state = self.state.lock().unwrap();
        if state.closed {
            return;
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_myrtle-front"));
        let errors = log.try_clone().unwrap();
        command.env("RUST_LOG", LOG_LEVELS);
        let process = command.arg(&self.settings).stdout(log).stderr(errors).spawn().unwrap();
        state.process = Some(process);
        state.events.push((Instant::now(), Event::Started));
    }

    /// Kills the process when the grace ends, and starts it again when it has ended.
    async fn keep(self: Arc<Self>) {
        loop {
            sleep(POLL).await;
            if self.poll_end() {
                sleep(RESTART_DELAY).await;
                self.spawn();
            }
        }
    }

    /// Whether the process has ended since the last time.
    fn poll_end(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let overdue = state.stopped_at.is_some_and(|at| at.elapsed() >= GRACE);
        let Some(process) = state.process.as_mut() else {
            return false;
        };
        let ended = process.try_wait().unwrap();
        let Some(end) = ended else {
            if overdue && state.events.last().is_none_or(|(_, event)| *event != Event::Overdue) {
                let _ = state.process.as_mut().unwrap().kill();
                state.events.push((Instant::now(), Event::Overdue));
            }
            return false;
        };
        let caused =
            state.stopped_at.take().is_some()
                || state.events.iter().rev().take_while(|(_, event)| *event != Event::Started).any(
                    |(_, event)| matches!(event, Event::Signal(Signal::SIGKILL) | Event::Overdue),
                );
        if !caused {
            state.own_ends.push(end);
        }
        state.process = None;
        state.events.push((Instant::now(), Event::Ended));
        true
    }

    /// Checks its readiness, as the platform does.
    async fn check(self: Arc<Self>) {
        loop {
            sleep(CHECK_EVERY).await;
            let ready = timeout(CHECK_EVERY, status(self.checks, "/api/readiness")).await;
            let mut state = self.state.lock().unwrap();
            state.misses = if ready == Ok(200) { 0 } else { state.misses + 1 };
        }
    }
}
