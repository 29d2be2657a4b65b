//! Commands that query hosts or send them orders.

use std::io::Read;

use serde_json::{Value, json as value};

use myrtle_platform::{Failure, Role};

use crate::Error;
use crate::cluster::Cluster;
use crate::table::print;

/// Lists services, jobs, workers, parties or scopes of the configuration.
pub async fn get(cluster: &Cluster, what: &str, json: bool) -> Result<(), Error> {
    match what.to_lowercase().as_str() {
        "jobs" => {
            let columns =
                ["job", "number", "party", "class", "data_centre", "state", "open", "done"];
            print(&query_rows(cluster, "/jobs").await?, &columns, json);
        }
        "workers" => {
            let columns = ["worker", "data_centre", "rack", "has", "given", "health", "tasks"];
            print(&query_rows(cluster, "/workers").await?, &columns, json);
        }
        "services" => services(cluster, json).await?,
        "parties" => parties(cluster, json).await?,
        "config" => config(cluster, json).await?,
        other => {
            let hint = "ask for services, jobs, workers, parties or config";
            return Err(Error::Input(format!("cannot list '{other}'\n  hint: {hint}")));
        }
    }
    Ok(())
}

/// Prints the state of a task and the reason for it.
pub async fn why(cluster: &Cluster, task: &str, json: bool) -> Result<(), Error> {
    let answers: Vec<Value> = cluster.query_centres(&format!("/why?task={task}")).await?;
    if answers.is_empty() {
        let hint = "name it JOB.INDEX; see 'myrtlectl get jobs'";
        return Err(Error::Refused(format!("no task '{task}'\n  hint: {hint}")));
    }
    let columns = ["task", "state", "worker", "attempt", "evictions", "checkpoint", "reason"];
    print(&answers, &columns, json);
    Ok(())
}

/// Prints the usage and cost of each customer.
pub async fn usage(cluster: &Cluster, json: bool) -> Result<(), Error> {
    let columns = ["party", "class", "data_centre", "requests", "busy_ms", "price", "due"];
    print(&query_rows(cluster, "/usage").await?, &columns, json);
    Ok(())
}

/// Prints the status of every gate and sched.
pub async fn status(cluster: &Cluster, json: bool) -> Result<(), Error> {
    let rows =
        cluster.query_all::<Value>(None, "/status").await?.into_iter().map(|(host, status)| {
            let answers = status.is_some();
            let status = status.unwrap_or_default();
            value!({
                "name": host.name,
                "role": if host.role == Role::Gate { "gate" } else { "sched" },
                "data_centre": host.data_centre,
                "answers": answers,
                "config": status["config"],
                "ready": status["ready"],
                "log_age_ms": status["log_age_ms"],
                "writer": status["writer"],
            })
        });
    let columns =
        ["name", "role", "data_centre", "answers", "config", "ready", "log_age_ms", "writer"];
    print(&rows.collect::<Vec<_>>(), &columns, json);
    Ok(())
}

/// Starts or ends the drain of a worker, or stops a gate after its current requests.
pub async fn drain(cluster: &Cluster, worker: &str, on: bool, json: bool) -> Result<(), Error> {
    let gate =
        cluster.hosts().await?.into_iter().find(|h| h.name == worker && h.role == Role::Gate);
    if let Some(gate) = gate.filter(|_| on) {
        if !cluster.stop_gate(&gate).await {
            return Err(Error::Unknown(format!("{worker} did not answer; see 'myrtlectl status'")));
        }
        print(&[value!({"gate": worker, "accepted": true})], &["gate", "accepted"], json);
        return Ok(());
    }
    send_order(cluster, &format!("/drain?worker={worker}&on={on}"), worker, json).await
}

/// Evicts or releases a task, as `verb` says.
pub async fn task(cluster: &Cluster, verb: &str, task: &str, json: bool) -> Result<(), Error> {
    send_order(cluster, &format!("/{verb}?task={task}"), task, json).await
}

/// Cancels jobs in all data centres.
pub async fn cancel(cluster: &Cluster, jobs: &[String], json: bool) -> Result<(), Error> {
    let jobs = match jobs {
        [] => return Err(Error::Input("no jobs\n  hint: name them, or use '-'".into())),
        [dash] if dash == "-" => read_stdin()?,
        jobs => jobs.to_vec(),
    };
    let answers = cluster.post_centres("/cancel", &jobs).await?;
    let mut rows = Vec::new();
    for (centre, answer) in answers {
        let (mut row, unknown) = match answer {
            Ok(row) => (row, false),
            Err(e) => (value!({"error": e.to_string()}), true),
        };
        row["data_centre"] = centre.clone().into();
        rows.push(row);
        if unknown {
            print(&rows, &["data_centre", "cancelled", "unknown", "stopping", "error"], json);
            return Err(Error::Unknown(format!("{centre} did not answer; cancel again")));
        }
    }
    print(&rows, &["data_centre", "cancelled", "unknown", "stopping"], json);
    Ok(())
}

/// Sends an order to all data centres until one carries it out.
async fn send_order(cluster: &Cluster, path: &str, what: &str, json: bool) -> Result<(), Error> {
    let mut refused = format!("no data centre has '{what}'");
    for (centre, answer) in cluster.post_centres(path, &()).await? {
        match answer {
            Ok(_) => {
                print(&[value!({"data_centre": centre, "accepted": true})], &["data_centre"], json);
                return Ok(());
            }
            Err(Failure::Status(404, _)) => {}
            Err(Failure::Status(503, text)) => return Err(Error::Unknown(text)),
            Err(e) => refused = format!("{centre}: {e}"),
        }
    }
    Err(Error::Refused(refused))
}

async fn query_rows(cluster: &Cluster, path: &str) -> Result<Vec<Value>, Error> {
    let centres: Vec<Vec<Value>> = cluster.query_centres(path).await?;
    Ok(centres.into_iter().flatten().collect())
}

async fn services(cluster: &Cluster, json: bool) -> Result<(), Error> {
    let config = cluster.config().await?;
    let services = config.platform().into_iter().flat_map(|p| &p.services);
    let rows: Vec<Value> = services
        .map(|(name, s)| {
            value!({
                "service": name,
                "slots": s.slots,
                "connections": s.connections,
                "target": s.target.to_string(),
            })
        })
        .collect();
    print(&rows, &["service", "slots", "connections", "target"], json);
    Ok(())
}

async fn parties(cluster: &Cluster, json: bool) -> Result<(), Error> {
    let config = cluster.config().await?;
    let parties = config.platform().into_iter().flat_map(|p| &p.customers);
    let rows: Vec<Value> = parties
        .map(|(name, p)| value!({"party": name, "rate": p.rate, "classes": p.classes.join(",")}))
        .collect();
    print(&rows, &["party", "rate", "classes"], json);
    Ok(())
}

async fn config(cluster: &Cluster, json: bool) -> Result<(), Error> {
    let config = cluster.config().await?;
    let rows: Vec<Value> = config
        .scopes
        .iter()
        .map(|(name, s)| value!({"scope": name, "version": s.version, "by": s.by}))
        .collect();
    print(&rows, &["scope", "version", "by"], json);
    Ok(())
}

fn read_stdin() -> Result<Vec<String>, Error> {
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.map_err(|e| Error::Input(format!("cannot read the jobs: {e}")))?;
    Ok(text.lines().map(str::trim).filter(|l| !l.is_empty()).map(String::from).collect())
}
