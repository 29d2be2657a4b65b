//! Clients for the log service, the host list and the project's processes.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use myrtle_config::{Config, ConfigRecord};
use myrtle_peer::{GatePeerClient, Link};
use myrtle_platform::{Caller, Failure, Host, HostList, LogClient, ReadError, Role};

use crate::Error;

/// Timeout of a query to one host.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Stream of configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// Clients for all services that commands call.
#[derive(Debug)]
pub struct Cluster {
    /// Client of the log service.
    pub log: LogClient,
    caller: Caller,
    list: HostList,
}

impl Cluster {
    /// Creates clients for the given addresses, or those of the environment.
    pub fn new(log: Option<SocketAddr>, hosts: Option<SocketAddr>) -> Result<Self, Error> {
        let caller = Caller::default();
        let log = address(log, "MYRTLE_LOG", "--log")?;
        let hosts = address(hosts, "MYRTLE_HOSTS", "--hosts")?;
        Ok(Self {
            log: LogClient::new(caller.clone(), log),
            list: HostList::new(caller.clone(), hosts),
            caller,
        })
    }

    /// Reads the current configuration from the log.
    pub async fn config(&self) -> Result<Config, Error> {
        let mut config = Config::default();
        loop {
            match self.log.read(CONFIG_STREAM, config.next, Duration::ZERO).await {
                Ok(page) if page.entries.is_empty() => return Ok(config),
                Ok(page) => {
                    for entry in page.entries {
                        match ConfigRecord::decode(&entry.data) {
                            Some(ConfigRecord::Change(c)) => drop(config.fold(entry.offset, c)),
                            _ => config.skip(entry.offset),
                        }
                    }
                }
                Err(ReadError::Gone(first)) => self.load_snapshot(&mut config, first).await?,
                Err(ReadError::Unavailable(e)) => {
                    return Err(Error::Unreachable(format!("the log: {e}")));
                }
            }
        }
    }

    /// Lists the hosts of gates and scheds.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let list = self.list.list().await;
        let hosts = list.map_err(|e| Error::Unreachable(format!("the host list: {e}")))?;
        Ok(hosts.into_iter().filter(|h| h.role != Role::Worker).collect())
    }

    /// Queries every host of a role, or all hosts; hosts that do not answer yield `None`.
    pub async fn query_all<T: DeserializeOwned>(
        &self,
        role: Option<Role>,
        path: &str,
    ) -> Result<Vec<(Host, Option<T>)>, Error> {
        let hosts = self.hosts().await?;
        let queried = hosts.into_iter().filter(|h| role.is_none_or(|r| h.role == r));
        let answers = queried.map(|host| async move {
            let answer = self.caller.get(host.http, path, TIMEOUT).await.ok();
            (host, answer)
        });
        Ok(join_all(answers).await)
    }

    /// Queries one sched of each data centre, the first that answers.
    pub async fn query_centres<T: DeserializeOwned>(&self, path: &str) -> Result<Vec<T>, Error> {
        let mut seen = Vec::new();
        let mut answers = Vec::new();
        for (host, answer) in self.query_all(Some(Role::Sched), path).await? {
            let Some(answer) = answer else { continue };
            if !seen.contains(&host.data_centre) {
                seen.push(host.data_centre);
                answers.push(answer);
            }
        }
        Ok(answers)
    }

    /// Posts to one sched of each data centre, trying the next only if a connection fails.
    pub async fn post_centres(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<(String, Result<Value, Failure>)>, Error> {
        let mut answers: Vec<(String, Result<Value, Failure>)> = Vec::new();
        for host in self.hosts().await?.into_iter().filter(|h| h.role == Role::Sched) {
            let known = answers.iter().position(|a| a.0 == host.data_centre);
            if known.is_some_and(|n| !matches!(answers[n].1, Err(Failure::Connect(_)))) {
                continue;
            }
            let answer = self.caller.post(host.http, path, body, TIMEOUT * 5).await;
            match known {
                Some(n) => answers[n].1 = answer,
                None => answers.push((host.data_centre, answer)),
            }
        }
        Ok(answers)
    }

    /// Asks a gate for a planned stop; true if the gate accepts.
    pub async fn stop_gate(&self, gate: &Host) -> bool {
        let link: Link<GatePeerClient> = Link::new(gate.peer);
        let answer =
            link.call(TIMEOUT, |c: GatePeerClient, x| async move { c.stop(x).await }).await;
        answer.unwrap_or(false)
    }

    async fn load_snapshot(&self, config: &mut Config, first: u64) -> Result<(), Error> {
        let mut from = first;
        while let Ok(page) = self.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
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
            false => Err(Error::Unreachable("the log has no snapshot of the configuration".into())),
        }
    }
}

fn address(given: Option<SocketAddr>, name: &str, option: &str) -> Result<SocketAddr, Error> {
    let from_env = || std::env::var(name).ok().and_then(|v| v.parse().ok());
    given.or_else(from_env).ok_or_else(|| {
        Error::Input(format!("no address\n  hint: give {option} IP:PORT, or set {name}"))
    })
}
