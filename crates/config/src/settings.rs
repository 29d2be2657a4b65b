//! The settings of one process, checked as a whole at its start.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::{Fault, Span, read_file};

/// What a gate or a sched needs to know before it can ask anybody.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in its data centre.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The region of the data centre.
    pub region: String,
    /// Where it listens for HTTP.
    pub http: SocketAddr,
    /// Where it listens for the other processes of the project.
    pub peer: SocketAddr,
    /// Where the platform is.
    pub platform: Platform,
    /// Whether it enters itself into the host list.
    #[serde(default)]
    pub announce: Announce,
    /// The longest wait for in-flight work at a planned stop.
    #[serde(default = "default_drain")]
    pub drain: Span,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}

/// Who enters a process into the host list.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Announce {
    /// The platform does.
    #[default]
    Platform,
    /// The process does, with the ports that the system gave it.
    Itself,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let (settings, text): (Settings, String) = read_file(path).map_err(|f| vec![f])?;
        let faults = settings.faults(&path.display().to_string(), &text);
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Every contradiction in the settings.
    pub fn faults(&self, file: &str, source: &str) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add = |path: &[&str], text: &str, hint: &str| {
            faults.push(Fault::at(file, source, path, text.into(), hint));
        };
        if self.name.is_empty() {
            add(&["name"], "the name is empty", "give each host its own name");
        }
        if self.data_centre.is_empty() {
            add(&["data_centre"], "the data centre is empty", "name a configured data centre");
        }
        if self.http == self.peer && self.http.port() != 0 {
            add(&["peer"], "'http' and 'peer' are the same address", "use two ports");
        }
        if self.platform.log.port() == 0 {
            add(&["platform", "log"], "the log has port 0", "name the port it listens on");
        }
        if self.platform.hosts.port() == 0 {
            add(&["platform", "hosts"], "the host list has port 0", "name its port");
        }
        if self.announce == Announce::Platform && self.http.port() == 0 {
            let hint = "name a port, or set 'announce: itself'";
            add(&["http"], "port 0 is unknown to the platform", hint);
        }
        faults
    }
}

fn default_drain() -> Span {
    Span(myrtle_base::Millis(10_000))
}
