//! The hosts of a site, each in its own process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::{sleep, timeout};

use myrtle_standin::MachineService;

use super::{Site, WAIT_LIMIT, own_ip, program, settings, status};

/// The exit code of a host that can't bind its addresses; docs/OPERATIONS.md.
const BIND_FAILED: i32 = 3;

/// A front host in its own process.
pub struct Host {
    clients: SocketAddr,
    /// The address for readiness checks.
    pub checks: SocketAddr,
    pub process: Child,
    settings: PathBuf,
}

impl Host {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.id() as i32), signal).unwrap();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// How the processes of hosts are started.
#[derive(Default)]
pub struct Launch {
    /// The most descriptors that the system gives a process, if that is limited.
    pub files: Option<u32>,
    /// The file that gets the log; without it the log is dropped.
    pub log: Option<PathBuf>,
}

impl Launch {
    /// The command that starts a host with a settings file.
    fn command(&self, settings: &Path) -> Command {
        let mut command = match self.files {
            None => Command::new(program()),
            Some(files) => {
                let mut shell = Command::new("sh");
                // The shell becomes the program, so the process id is that of the host.
                shell.arg("-c").arg(format!("ulimit -n {files} && exec \"$0\" \"$1\""));
                shell.arg(program());
                shell
            }
        };
        let out =
            self.log.as_ref().map_or_else(Stdio::null, |log| File::create(log).unwrap().into());
        command.arg(settings).stdout(out);
        command
    }
}

/// A port that no other test of this process uses.
fn next_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

impl Site {
    /// Starts a host of one of the data centres `d` and `e` and waits until it is ready.
    pub async fn host_of(&mut self, name: &str, centre: &str, more: &str) {
        let edit = |text: String| {
            let text = text.replace("data_centre: d\n", &format!("data_centre: {centre}\n"));
            text.replace("[d]", "[d, e]") + more
        };
        self.host_with(name, edit).await;
    }

    /// Starts a host that knows the site's ticket service and waits until it is ready.
    pub async fn ticketed_host(&mut self, name: &str) {
        let line = format!("tickets: {}\n", self.tickets().address);
        self.host_with(name, |text| text + &line).await;
    }

    /// Starts a host that knows a machine service and waits until it is ready.
    pub async fn maintained_host(&mut self, name: &str, service: &MachineService) {
        let line = format!("machines: {}\n", service.address);
        self.host_with(name, |text| text + &line).await;
    }

    /// Starts a host and waits until it is ready.
    pub async fn host(&mut self, name: &str) {
        self.host_with(name, |text| text).await;
    }

    /// Starts a host that gets SIGHUP as soon as it listens for clients, and waits until it is ready.
    pub async fn reloaded_host(&mut self, name: &str) {
        self.reload_at_start = true;
        self.host(name).await;
    }

    /// Starts a host that keeps the state of finished jobs for a few seconds, and waits until it is ready.
    pub async fn forgetful_host(&mut self, name: &str) {
        self.host_with(name, |text| text.replace("status: 120", "status: 2")).await;
    }

    /// Starts a host without the capacity for a cell of more than one worker.
    pub async fn small_host(&mut self, name: &str) {
        let capacity = "capacity: {share: 0.001, cores: 1, link: 1000}\n";
        self.host_with(name, |text| text + capacity).await;
    }

    /// Starts a host with further settings and waits until it is ready.
    pub async fn host_and(&mut self, name: &str, more: &str) {
        self.host_with(name, |text| text + more).await;
    }

    /// Starts a host with edited settings and waits until it is ready.
    pub(super) async fn host_with(&mut self, name: &str, edit: impl Fn(String) -> String) {
        let started = async {
            // Another process may take a port before the host binds it, and the host then exits.
            while !self.try_host(name, &edit).await {}
        };
        timeout(WAIT_LIMIT, started).await.expect("the host was not ready in time");
    }

    /// Starts a host on new ports; false if one of them is in use.
    async fn try_host(&mut self, name: &str, edit: &impl Fn(String) -> String) -> bool {
        let ports = [next_port(), next_port(), next_port()];
        let file = format!("myrtle-{}-{}.yaml", std::process::id(), ports[0]);
        let path = std::env::temp_dir().join(file);
        let at = |port| SocketAddr::from((own_ip(), port));
        let store_at = match &self.links {
            Some(links) => links.add(self.store.clone(), at(ports[2])).await,
            None => self.store_at,
        };
        let text = edit(settings(name, store_at, ports, self.lease));
        std::fs::write(&path, text).unwrap();
        let process = self.launch.command(&path).spawn().unwrap();
        let (clients, checks) = (at(ports[0]), at(ports[1]));
        let mut host = Host { clients, checks, process, settings: path };
        if self.reload_at_start {
            let refused = async || tokio::net::TcpStream::connect(clients).await.is_err();
            while host.process.try_wait().unwrap().is_none() && refused().await {}
            host.signal(Signal::SIGHUP);
        }
        loop {
            if let Some(ended) = host.process.try_wait().unwrap() {
                assert_eq!(ended.code(), Some(BIND_FAILED), "the host ended at its start");
                return false;
            }
            if status(checks, "/api/readiness").await == 200 {
                self.hosts.insert(name.into(), host);
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The address of a host for clients.
    pub fn clients(&self, name: &str) -> SocketAddr {
        self.hosts[name].clients
    }
}
