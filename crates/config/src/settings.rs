//! The settings of one process, validated at its start.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::{Fault, Span, read_file};

/// The settings that a gate or a sched needs before its first network call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in its data centre.
    pub name: String,
    /// The host's data centre.
    pub data_centre: String,
    /// The region of the data centre.
    pub region: String,
    /// The address on which it serves HTTP.
    pub http: SocketAddr,
    /// The address on which it serves the other gates and scheds.
    pub peer: SocketAddr,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// Who adds it to the host list.
    #[serde(default)]
    pub announce: Announce,
    /// The longest wait for in-flight work at a planned stop, 10 s by default.
    #[serde(default = "default_drain")]
    pub drain: Span,
}

/// The addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the log service.
    pub log: SocketAddr,
    /// The address of the host list service.
    pub hosts: SocketAddr,
}

/// Who adds a process to the host list.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Announce {
    /// The platform adds it.
    #[default]
    Platform,
    /// The process adds itself, with the ports that the operating system assigned.
    Itself,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let (settings, text): (Settings, String) = read_file(path).map_err(|f| vec![f])?;
        let faults = settings.faults(&path.display().to_string(), &text);
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Every fault in the settings; `source` is the file's text, for the line numbers.
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
