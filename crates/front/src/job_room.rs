//! Asks a cell's owner whether it has room for a job that needs much memory.

use std::time::Duration;

use myrtle_job::JobId;
use myrtle_peer::FrontPeerClient;

use crate::clock::now;
use crate::host::Host;

/// The bytes up to which a job is accepted without a question, above what usual jobs need.
const LIGHT: usize = 16 << 10;

/// How long the owner's answer is waited for; without one the job is accepted.
const ASK_LIMIT: Duration = Duration::from_millis(150);

/// Whether the cell's owner has room for a job of so many bytes.
pub async fn has_room(host: &Host, cell: u32, job: JobId, bytes: usize) -> bool {
    if bytes <= LIGHT {
        return true;
    }
    if let Some(answer) = answer(host, cell, job, bytes) {
        return answer;
    }
    let Some(at) = host.owners.known(cell).filter(|at| *at != host.peer()) else {
        return true;
    };
    let ask = |c: FrontPeerClient, context| async move {
        c.admits(context, cell, job, bytes as u64).await
    };
    host.owners.call_newer(at, ASK_LIMIT, ask).await.flatten().unwrap_or(true)
}

/// The answer of this host, if it owns the cell and has read its log.
pub fn answer(host: &Host, cell: u32, job: JobId, bytes: usize) -> Option<bool> {
    let owned = host.owned(cell).filter(|owned| !owned.closed())?;
    let mut state = owned.state();
    state.loaded.then(|| state.admits(job, bytes, now()))
}
