//! Loads and checks files of desired state.

use std::path::Path;

use myrtle_config::{Desired, Fault, check_end, check_refs, read_file};

use crate::Error;

/// Loads a file and checks that its references resolve within it or in `platform`.
pub fn load(path: &Path, platform: Option<&Desired>) -> Result<Desired, Error> {
    let (desired, text): (Desired, String) = read_file(path).map_err(|f| invalid(&[f]))?;
    check_end(&path.display().to_string(), &text).map_err(|f| invalid(&[f]))?;
    let faults = check_refs(&path.display().to_string(), &text, &desired, platform);
    if faults.is_empty() { Ok(desired) } else { Err(invalid(&faults)) }
}

/// Checks a file on its own and prints the result.
pub fn check(path: &Path, json: bool) -> Result<(), Error> {
    let desired = load(path, None)?;
    match json {
        true => say!("{}", serde_json::json!({"scope": desired.scope, "ok": true})),
        false => say!("{}: scope '{}' is fine", path.display(), desired.scope),
    }
    Ok(())
}

fn invalid(faults: &[Fault]) -> Error {
    let lines: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
    Error::Input(lines.join("\n"))
}
