//! Applies files of desired state; a change counts as accepted once it is read back from the log.

use std::io::{IsTerminal, Write};
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json as value;
use uuid::Uuid;

use myrtle_config::{Change, Config, ConfigRecord, Desired, Edit, Verdict, diff as edits};

use crate::Error;
use crate::args::Apply;
use crate::cluster::{CONFIG_STREAM, Cluster};
use crate::files::load;

/// How often an append is attempted before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 5;

/// Delay between reading the log back and the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Timeout of `--wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Deserialize)]
struct Status {
    config: u64,
}

/// Prints what a file would change.
pub async fn diff(cluster: &Cluster, file: &Path, json: bool) -> Result<(), Error> {
    let config = cluster.config().await?;
    let desired = load(file, config.platform())?;
    print_edits(&changes(&config, &desired), json);
    Ok(())
}

/// Applies a file and optionally waits until it is in force.
pub async fn apply(cluster: &Cluster, args: &Apply, json: bool) -> Result<(), Error> {
    let config = cluster.config().await?;
    let desired = load(&args.file, config.platform())?;
    let edits = changes(&config, &desired);
    if !json {
        print_edits(&edits, false);
    }
    let started_at = Instant::now();
    let base = args.base.unwrap_or_else(|| config.base(&desired.scope));
    let by = args.by.clone().or_else(|| std::env::var("USER").ok()).unwrap_or("operator".into());
    let change = Change { id: Uuid::now_v7(), base, by, desired };
    let version = append(cluster, change).await?;
    if !json {
        say!("accepted as version {version}");
    }
    if args.wait {
        wait(cluster, version, started_at, json).await?;
    }
    if json {
        let in_force = args.wait.then(|| started_at.elapsed().as_millis() as u64);
        say!("{}", value!({"version": version, "in_force_ms": in_force, "edits": edits}));
    }
    Ok(())
}

/// Appends a change and returns its version; its id keeps a repeated append without effect.
async fn append(cluster: &Cluster, change: Change) -> Result<u64, Error> {
    let id = change.id;
    let bytes = ConfigRecord::Change(change).encode();
    let mut last = String::new();
    for _ in 0..MAX_ATTEMPTS {
        if let Err(e) = cluster.log.append(CONFIG_STREAM, bytes.clone()).await {
            last = e.to_string();
        }
        match cluster.config().await.map(|c| c.verdict(id)) {
            Ok(Some(Verdict::Accepted(version))) => return Ok(version),
            Ok(Some(Verdict::Refused(refusal))) => {
                let hint = "look at 'myrtlectl diff', then apply again";
                return Err(Error::Refused(format!("{refusal}\n  hint: {hint}")));
            }
            Ok(None) => {}
            Err(error) => last = error.message().to_string(),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let hint = "see 'myrtlectl get config' before you apply again";
    Err(Error::Unknown(format!(
        "whether the change took effect is unknown: {last}\n  hint: {hint}"
    )))
}

/// Waits until all hosts that answer have the version in force, and at least one does.
async fn wait(
    cluster: &Cluster,
    version: u64,
    started_at: Instant,
    json: bool,
) -> Result<(), Error> {
    let progress = !json && std::io::stderr().is_terminal();
    loop {
        let hosts = cluster.query_all::<Status>(None, "/status").await?;
        let applied = hosts.iter().filter(|(_, s)| s.as_ref().is_some_and(|s| s.config >= version));
        let (applied, unreachable) =
            (applied.count(), hosts.iter().filter(|(_, s)| s.is_none()).count());
        if progress {
            eprint!(
                "\rin force on {applied} of {} hosts, {unreachable} do not answer ",
                hosts.len()
            );
            let _ = std::io::stderr().flush();
        }
        let done = !hosts.is_empty() && applied + unreachable == hosts.len() && applied > 0;
        if done && !json {
            let ms = started_at.elapsed().as_millis();
            say!("in force on {applied} hosts after {ms} ms, unknown on {unreachable}");
        }
        if done {
            return Ok(());
        }
        if started_at.elapsed() > WAIT_TIMEOUT {
            let message = format!("in force on {applied} of {} hosts only", hosts.len());
            return Err(Error::Unknown(format!("{message}\n  hint: see 'myrtlectl status'")));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn changes(config: &Config, desired: &Desired) -> Vec<Edit> {
    let empty = Desired { scope: desired.scope.clone(), ..Desired::default() };
    let old = config.scopes.get(&desired.scope).map_or(&empty, |s| &s.desired);
    edits(old, desired)
}

fn print_edits(edits: &[Edit], json: bool) {
    if json {
        say!("{}", value!(edits));
        return;
    }
    if edits.is_empty() {
        say!("nothing changes");
    }
    edits.iter().for_each(|edit| say!("{edit}"));
}
