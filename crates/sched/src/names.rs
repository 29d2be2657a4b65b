//! Names of streams and tasks.

use myrtle_cell::TaskId;

/// Stream of configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// Returns the name of a cell's stream.
pub fn stream(cell: &str) -> String {
    format!("cell/{cell}")
}

/// Returns the name of a task in orders to workers.
pub fn task_name(cell: &str, id: TaskId) -> String {
    format!("{cell}/{id}")
}

/// Parses the name of a task; `None` if it is malformed or of another cell.
pub fn task_id(cell: &str, name: &str) -> Option<TaskId> {
    let rest = name.strip_prefix(cell)?.strip_prefix('/')?;
    let (job, index) = rest.split_once('.')?;
    Some(TaskId::new(job.parse().ok()?, index.parse().ok()?))
}
