//! Applies files: accepted only after the change was read back.

use std::io::{IsTerminal, Write};
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json as value;
use uuid::Uuid;

use myrtle_config::{Change, Config, ConfigRecord, Desired, Edit, Verdict, diff as edits};

use crate::Failed;
use crate::args::Apply;
use crate::cluster::{CONFIG, Cluster};
use crate::files::load;

/// How often an append without an answer is tried.
const TRIES: u32 = 5;

/// How long a lost append is looked for before it is tried again.
const LOOK: Duration = Duration::from_millis(700);

/// How long `--wait` waits.
const WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Deserialize)]
struct Status {
    config: u64,
}

/// Shows what a file would change.
pub async fn diff(cluster: &Cluster, file: &Path, json: bool) -> Result<(), Failed> {
    let config = cluster.config().await?;
    let desired = load(file, config.platform())?;
    print_edits(&changes(&config, &desired), json);
    Ok(())
}

/// Applies a file.
pub async fn apply(cluster: &Cluster, args: &Apply, json: bool) -> Result<(), Failed> {
    let config = cluster.config().await?;
    let desired = load(&args.file, config.platform())?;
    let edits = changes(&config, &desired);
    if !json {
        print_edits(&edits, false);
    }
    let began = Instant::now();
    let base = args.base.unwrap_or_else(|| config.base(&desired.scope));
    let by = args.by.clone().or_else(|| std::env::var("USER").ok()).unwrap_or("operator".into());
    let change = Change { id: Uuid::now_v7(), base, by, desired };
    let version = append(cluster, change).await?;
    if !json {
        say!("accepted as version {version}");
    }
    if args.wait {
        wait(cluster, version, began, json).await?;
    }
    if json {
        let in_force = args.wait.then(|| began.elapsed().as_millis() as u64);
        say!("{}", value!({"version": version, "in_force_ms": in_force, "edits": edits}));
    }
    Ok(())
}

/// Appends a change and reads back what became of it; a lost answer doubles nothing.
async fn append(cluster: &Cluster, change: Change) -> Result<u64, Failed> {
    let id = change.id;
    let bytes = ConfigRecord::Change(change).encode();
    let mut last = String::new();
    for _ in 0..TRIES {
        if let Err(e) = cluster.log.append(CONFIG, bytes.clone()).await {
            last = e.to_string();
        }
        match cluster.config().await.map(|c| c.verdict(id)) {
            Ok(Some(Verdict::Accepted(version))) => return Ok(version),
            Ok(Some(Verdict::Refused(refusal))) => {
                let hint = "look at 'myrtlectl diff', then apply again";
                return Err(Failed::Refused(format!("{refusal}\n  hint: {hint}")));
            }
            Ok(None) => {}
            Err(failed) => last = failed.text().to_string(),
        }
        tokio::time::sleep(LOOK).await;
    }
    let hint = "see 'myrtlectl get config' before you apply again";
    Err(Failed::Unknown(format!("whether it was taken in is unknown: {last}\n  hint: {hint}")))
}

/// Waits until all hosts that answer have the version in force.
async fn wait(cluster: &Cluster, version: u64, began: Instant, json: bool) -> Result<(), Failed> {
    let progress = !json && std::io::stderr().is_terminal();
    loop {
        let hosts = cluster.ask_all::<Status>(None, "/status").await?;
        let there = hosts.iter().filter(|(_, s)| s.as_ref().is_some_and(|s| s.config >= version));
        let (there, silent) = (there.count(), hosts.iter().filter(|(_, s)| s.is_none()).count());
        if progress {
            eprint!("\rin force on {there} of {} hosts, {silent} do not answer ", hosts.len());
            let _ = std::io::stderr().flush();
        }
        let done = !hosts.is_empty() && there + silent == hosts.len() && there > 0;
        if done && !json {
            let ms = began.elapsed().as_millis();
            say!("in force on {there} hosts after {ms} ms, unknown on {silent}");
        }
        if done {
            return Ok(());
        }
        if began.elapsed() > WAIT {
            let text = format!("in force on {there} of {} hosts only", hosts.len());
            return Err(Failed::Unknown(format!("{text}\n  hint: see 'myrtlectl status'")));
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
