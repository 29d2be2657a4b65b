//! The names of topics, keys, groups and writers in the store.

use myrtle_job::Incarnation;

/// Accepted jobs by name; a cell's jobs are in its partition.
pub const JOBS: &str = "keyed.jobs";

/// The progress of jobs by name, the workers that were given work, and the owners, which alone write to it.
pub const PROGRESS: &str = "keyed.progress";

/// The machines that a maintenance wave has completed, by the wave's number, and those that may be down.
pub const WAVES: &str = "keyed.waves";

/// The suffix of the key of a wave's machines that may be down.
pub const TURNS: &str = ".turns";

/// The layout of cells, under one key.
pub const LAYOUT: &str = "keyed.layout";

/// The announcements of hosts by name, one partition per capacity class; the layout follows from them.
pub const HOSTS: &str = "keyed.hosts";

/// The learned models of images and loads, one key per partition.
pub const LEARNED: &str = "keyed.lessons";

/// The owner of each cell by number, written by its owners and by hosts that find it free.
pub const DIRECTORY: &str = "keyed.owners";

/// The writer name that all owners share; the fencing token distinguishes them.
pub const OWNER_WRITER: &str = "owner";

/// The prefix of workers' keys in the topic of progress; no job's name begins with it.
const WORKER_PREFIX: &str = "worker.";

/// The prefix of owners' keys in the topic of progress; no job's name begins with it.
const OWNER_PREFIX: &str = "owner.";

/// The key of an owner that may have granted leases, by its fencing token.
pub fn owner_key(fence: u64) -> String {
    format!("{OWNER_PREFIX}{fence}")
}

/// The fencing token in an owner's key; nothing for other keys.
pub fn parse_owner(key: &str) -> Option<u64> {
    key.strip_prefix(OWNER_PREFIX)?.parse().ok()
}

/// The key of a worker's description in the topic of progress.
pub fn worker_key(incarnation: &Incarnation) -> String {
    format!("{WORKER_PREFIX}{incarnation}")
}

/// The incarnation in a worker's key; nothing for other keys.
pub fn parse_worker(key: &str) -> Option<Incarnation> {
    key.strip_prefix(WORKER_PREFIX)?.parse().ok()
}

/// The group of a cell; its member with the cell's partition owns the cell.
pub fn group(cell: u32) -> String {
    format!("cell-{cell}")
}
