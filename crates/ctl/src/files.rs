//! Files of desired state.

use std::path::Path;

use myrtle_config::{Desired, Fault, check_end, check_refs, read_file};

use crate::Failed;

/// Reads a file and checks it against itself and `platform`.
pub fn load(path: &Path, platform: Option<&Desired>) -> Result<Desired, Failed> {
    let (desired, text): (Desired, String) = read_file(path).map_err(|f| failed(&[f]))?;
    check_end(&path.display().to_string(), &text).map_err(|f| failed(&[f]))?;
    let faults = check_refs(&path.display().to_string(), &text, &desired, platform);
    if faults.is_empty() { Ok(desired) } else { Err(failed(&faults)) }
}

/// Checks a file that needs nothing else.
pub fn check(path: &Path, json: bool) -> Result<(), Failed> {
    let desired = load(path, None)?;
    match json {
        true => say!("{}", serde_json::json!({"scope": desired.scope, "ok": true})),
        false => say!("{}: scope '{}' is fine", path.display(), desired.scope),
    }
    Ok(())
}

fn failed(faults: &[Fault]) -> Failed {
    let lines: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
    Failed::File(lines.join("\n"))
}
