//! What the owner of its cell knows of a job on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use myrtle_adapter::Store;
use myrtle_front::{cell_group, member_address};
use myrtle_job::JobId;
use myrtle_peer::{FrontPeerClient, Link};

use crate::Failed;

/// The most cells that are asked; the platform's topics have no more partitions.
const CELLS: u32 = 24;

/// How long the store or a host may take.
const LIMIT: Duration = Duration::from_secs(2);

/// Finds the owner that knows the job, and prints what it knows.
pub async fn show(store: SocketAddr, job: &str, json: bool) -> Result<(), Failed> {
    let id: JobId = job.parse().map_err(|e| Failed::File(format!("{e}")))?;
    let store = Store::new(store);
    let mut owners = 0;
    for cell in 0..CELLS {
        let rows = store.owners(&cell_group(cell), LIMIT).await;
        let rows = rows.map_err(|e| Failed::Away(e.to_string()))?;
        let Some(owner) = rows.into_iter().find(|r| r.part == cell) else {
            continue;
        };
        owners += 1;
        let lines = explain(&owner.member, cell, id).await?;
        if lines.is_empty() {
            continue;
        }
        if json {
            let value = serde_json::json!({ "cell": cell, "owner": owner.member, "lines": lines });
            say!("{value}");
        } else {
            say!("cell {cell}, owner {}", owner.member);
            lines.iter().for_each(|line| say!("{line}"));
        }
        return Ok(());
    }
    match owners {
        0 => Err(Failed::Away("no cell has an owner; look for 'owner-begins' in the logs".into())),
        _ => Err(Failed::Refused(format!("no owner knows job {id}; it may be forgotten by now"))),
    }
}

async fn explain(member: &str, cell: u32, job: JobId) -> Result<Vec<String>, Failed> {
    let away = || Failed::Away(format!("the owner {member} does not answer"));
    let at = member_address(member).ok_or_else(away)?;
    let link: Link<FrontPeerClient> = Link::new(at);
    let call = link.call(LIMIT, |c, context| async move { c.explain(context, cell, job).await });
    call.await.ok_or_else(away)
}
