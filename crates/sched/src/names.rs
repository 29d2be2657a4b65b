//! Names of streams and tasks.

use myrtle_cell::TaskId;

/// The stream of configuration changes.
pub const CONFIG: &str = "config";

/// The stream of a cell.
pub fn stream(cell: &str) -> String {
    format!("cell/{cell}")
}

/// The name of a task towards workers.
pub fn task_name(cell: &str, id: TaskId) -> String {
    format!("{cell}/{id}")
}

/// The task with this name, if it is one of the cell's.
pub fn task_id(cell: &str, name: &str) -> Option<TaskId> {
    let rest = name.strip_prefix(cell)?.strip_prefix('/')?;
    let (job, index) = rest.split_once('.')?;
    Some(TaskId::new(job.parse().ok()?, index.parse().ok()?))
}
