//! The platform and the project's processes as the command line reaches them.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use myrtle_config::{Config, ConfigRecord};
use myrtle_peer::{GatePeerClient, Link};
use myrtle_platform::{Caller, Failure, Host, HostList, LogClient, ReadError, Role};

use crate::Failed;

/// How long a host may take to answer.
const LIMIT: Duration = Duration::from_secs(3);

/// The stream of configuration changes.
pub const CONFIG: &str = "config";

/// Clients of everything that an operator reaches.
#[derive(Debug)]
pub struct Cluster {
    /// The log service.
    pub log: LogClient,
    caller: Caller,
    list: HostList,
}

impl Cluster {
    /// Clients for the given addresses, or those of the environment.
    pub fn new(log: Option<SocketAddr>, hosts: Option<SocketAddr>) -> Result<Self, Failed> {
        let caller = Caller::default();
        let log = address(log, "MYRTLE_LOG", "--log")?;
        let hosts = address(hosts, "MYRTLE_HOSTS", "--hosts")?;
        Ok(Self {
            log: LogClient::new(caller.clone(), log),
            list: HostList::new(caller.clone(), hosts),
            caller,
        })
    }

    /// The configuration as the log has it now.
    pub async fn config(&self) -> Result<Config, Failed> {
        let mut config = Config::default();
        loop {
            match self.log.read(CONFIG, config.next, Duration::ZERO).await {
                Ok(page) if page.entries.is_empty() => return Ok(config),
                Ok(page) => {
                    for entry in page.entries {
                        match ConfigRecord::decode(&entry.data) {
                            Some(ConfigRecord::Change(c)) => drop(config.fold(entry.offset, c)),
                            _ => config.skip(entry.offset),
                        }
                    }
                }
                Err(ReadError::Gone(first)) => self.catch_up(&mut config, first).await?,
                Err(ReadError::Away(e)) => return Err(Failed::Away(format!("the log: {e}"))),
            }
        }
    }

    /// The project's own hosts.
    pub async fn hosts(&self) -> Result<Vec<Host>, Failed> {
        let list = self.list.list().await;
        let hosts = list.map_err(|e| Failed::Away(format!("the host list: {e}")))?;
        Ok(hosts.into_iter().filter(|h| h.role != Role::Worker).collect())
    }

    /// Asks every host of a role; those that do not answer are left out.
    pub async fn ask_all<T: DeserializeOwned>(
        &self,
        role: Option<Role>,
        path: &str,
    ) -> Result<Vec<(Host, Option<T>)>, Failed> {
        let hosts = self.hosts().await?;
        let asked = hosts.into_iter().filter(|h| role.is_none_or(|r| h.role == r));
        let answers = asked.map(|host| async move {
            let answer = self.caller.get(host.http, path, LIMIT).await.ok();
            (host, answer)
        });
        Ok(join_all(answers).await)
    }

    /// Asks one sched of each data centre, the first that answers.
    pub async fn ask_centres<T: DeserializeOwned>(&self, path: &str) -> Result<Vec<T>, Failed> {
        let mut seen = Vec::new();
        let mut answers = Vec::new();
        for (host, answer) in self.ask_all(Some(Role::Sched), path).await? {
            let Some(answer) = answer else { continue };
            if !seen.contains(&host.data_centre) {
                seen.push(host.data_centre);
                answers.push(answer);
            }
        }
        Ok(answers)
    }

    /// Posts to one sched of each data centre; returns each one's answer or failure.
    pub async fn post_centres(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<(String, Result<Value, Failure>)>, Failed> {
        let mut answers: Vec<(String, Result<Value, Failure>)> = Vec::new();
        for host in self.hosts().await?.into_iter().filter(|h| h.role == Role::Sched) {
            let known = answers.iter().position(|a| a.0 == host.data_centre);
            if known.is_some_and(|n| !matches!(answers[n].1, Err(Failure::Connect(_)))) {
                continue;
            }
            let answer = self.caller.post(host.http, path, body, LIMIT * 5).await;
            match known {
                Some(n) => answers[n].1 = answer,
                None => answers.push((host.data_centre, answer)),
            }
        }
        Ok(answers)
    }

    /// Asks a gate for a planned stop; true if it takes the order.
    pub async fn stop_gate(&self, gate: &Host) -> bool {
        let link: Link<GatePeerClient> = Link::new(gate.peer);
        let answer = link.call(LIMIT, |c: GatePeerClient, x| async move { c.stop(x).await }).await;
        answer.unwrap_or(false)
    }

    async fn catch_up(&self, config: &mut Config, first: u64) -> Result<(), Failed> {
        let mut from = first;
        while let Ok(page) = self.log.read(CONFIG, from, Duration::ZERO).await {
            let Some(last) = page.entries.last() else { break };
            from = last.offset + 1;
            for entry in &page.entries {
                if let Some(ConfigRecord::Snapshot(known)) = ConfigRecord::decode(&entry.data) {
                    config.catch_up(known);
                }
            }
        }
        match config.next >= first {
            true => Ok(()),
            false => Err(Failed::Away("the log holds no snapshot of the configuration".into())),
        }
    }
}

fn address(given: Option<SocketAddr>, name: &str, option: &str) -> Result<SocketAddr, Failed> {
    let told = || std::env::var(name).ok().and_then(|v| v.parse().ok());
    given.or_else(told).ok_or_else(|| {
        Failed::File(format!("no address\n  hint: give {option} IP:PORT, or set {name}"))
    })
}
