//! Names under which the project keeps its own records in the store.

/// Accepted jobs, by their names; a cell's jobs lie in its partition.
pub const JOBS: &str = "keyed.jobs";

/// The progress of jobs, by their names, written only by the owners of the cells.
pub const PROGRESS: &str = "keyed.progress";

/// The machines that waves of upkeep have seen through, by the waves' numbers.
pub const WAVES: &str = "keyed.waves";

/// Which cells there are, under one key.
pub const LAYOUT: &str = "keyed.layout";

/// What owners have learned of images and loads, one key a partition.
pub const LESSONS: &str = "keyed.lessons";

/// Notices that a cell is free, one partition a cell.
pub const NOTICES: &str = "notices";

/// The writer's name of every owner; the fencing token tells them apart.
pub const OWNER: &str = "owner";

/// The group whose member with the cell's partition owns the cell.
pub fn group(cell: u32) -> String {
    format!("cell-{cell}")
}
