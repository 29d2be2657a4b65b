//! Names under which the project keeps its own records in the store.

use myrtle_job::Incarnation;

/// Accepted jobs, by their names; a cell's jobs lie in its partition.
pub const JOBS: &str = "keyed.jobs";

/// The progress of jobs, by their names, the workers that were given work, and the owners, which alone write it.
pub const PROGRESS: &str = "keyed.progress";

/// The machines that waves of upkeep have seen through, by the waves' numbers.
pub const WAVES: &str = "keyed.waves";

/// Which cells there are, under one key.
pub const LAYOUT: &str = "keyed.layout";

/// What each host carries, by its name, one partition a class of strength; the cells follow from that.
pub const HOSTS: &str = "keyed.hosts";

/// What owners have learned of images and loads, one key a partition.
pub const LESSONS: &str = "keyed.lessons";

/// Who owns each cell, by its number; written by its owners, and by whoever finds it free.
pub const DIRECTORY: &str = "keyed.owners";

/// The writer's name of every owner; the fencing token tells them apart.
pub const OWNER: &str = "owner";

/// What the keys of workers begin with in the topic of progress; no job's name does.
const WORKER: &str = "worker.";

/// What the keys of owners begin with in the topic of progress; no job's name does.
const OWNERS: &str = "owner.";

/// The key of an owner that may have given leases out, by its fencing token.
pub fn owner_key(fence: u64) -> String {
    format!("{OWNERS}{fence}")
}

/// The fencing token of the owner that a key tells of; nothing if it is another record's.
pub fn owner_of(key: &str) -> Option<u64> {
    key.strip_prefix(OWNERS)?.parse().ok()
}

/// The key of a worker's description beside the progress of jobs.
pub fn worker_key(life: &Incarnation) -> String {
    format!("{WORKER}{life}")
}

/// The worker that a key tells of; nothing if it is a job's.
pub fn worker_of(key: &str) -> Option<Incarnation> {
    key.strip_prefix(WORKER)?.parse().ok()
}

/// The group whose member with the cell's partition owns the cell.
pub fn group(cell: u32) -> String {
    format!("cell-{cell}")
}
