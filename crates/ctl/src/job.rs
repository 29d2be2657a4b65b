//! Prints the state of a job on the users' platform, as the owner of its cell reports it.

use std::net::SocketAddr;
use std::time::Duration;

use myrtle_adapter::Store;
use myrtle_front::{cell_group, member_address};
use myrtle_job::JobId;
use myrtle_peer::{FrontPeerClient, Link};

use crate::Error;

/// Number of cells queried, the largest number of partitions that the platform's topics have.
const MAX_CELLS: u32 = 24;

/// Timeout of a call to the store or a host.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Queries the owner of each cell until one has the job, and prints its answer.
pub async fn show(store: SocketAddr, job: &str, json: bool) -> Result<(), Error> {
    let id: JobId = job.parse().map_err(|e| Error::Input(format!("{e}")))?;
    let store = Store::new(store);
    let mut owners = 0;
    for cell in 0..MAX_CELLS {
        let rows = store.owners(&cell_group(cell), TIMEOUT).await;
        let rows = rows.map_err(|e| Error::Unreachable(e.to_string()))?;
        let Some(owner) = rows.into_iter().find(|r| r.partition == cell) else {
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
        0 => Err(Error::Unreachable("no cell has an owner; see 'owner-begins' in the logs".into())),
        _ => Err(Error::Refused(format!("no owner has job {id}; it may have been removed"))),
    }
}

async fn explain(member: &str, cell: u32, job: JobId) -> Result<Vec<String>, Error> {
    let unreachable = || Error::Unreachable(format!("the owner {member} does not answer"));
    let at = member_address(member).ok_or_else(unreachable)?;
    let link: Link<FrontPeerClient> = Link::new(at);
    let call = link.call(TIMEOUT, |c, context| async move { c.explain(context, cell, job).await });
    call.await.ok_or_else(unreachable)
}
