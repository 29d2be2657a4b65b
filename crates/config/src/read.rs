//! Reads YAML with bounds against hostile files and says where a fault is.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use derive_more::Display;
use serde::de::DeserializeOwned;
use serde_saphyr::{Budget, DuplicateKeyPolicy, Options};

/// The largest file that is read, in bytes.
pub const MAX_FILE: u64 = 4 << 20;

/// Nodes of a file; a file of the largest size that is no bomb stays below it.
const MAX_NODES: usize = 400_000;

/// Aliases of a file; ours need none, a bomb needs many.
const MAX_ALIASES: usize = 16;

/// What is wrong in a file, where, and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{file}:{line}:{column}: {text}\n  hint: {hint}")]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// The line from 1, or 0 for the file as a whole.
    pub line: u64,
    /// The column from 1, or 0 for the line as a whole.
    pub column: u64,
    /// What is wrong.
    pub text: String,
    /// What to do.
    pub hint: String,
}

impl std::error::Error for Fault {}

impl Fault {
    /// A fault of a file as a whole.
    pub fn whole(file: &str, text: impl Into<String>, hint: impl Into<String>) -> Self {
        Self { file: file.into(), line: 0, column: 0, text: text.into(), hint: hint.into() }
    }

    /// A fault at the first line of `source` that holds `key:`, below the line of `within`.
    pub fn at(file: &str, source: &str, path: &[&str], text: String, hint: &str) -> Self {
        let line = find(source, path);
        Self { file: file.into(), line, column: 1, text, hint: hint.into() }
    }
}

/// Reads a file of at most [`MAX_FILE`] bytes; returns its text too.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<(T, String), Fault> {
    let name = path.display().to_string();
    let fail =
        |e: std::io::Error| Fault::whole(&name, e.to_string(), "name a file that can be read");
    let file = File::open(path).map_err(fail)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE + 1).read_to_end(&mut bytes).map_err(fail)?;
    if bytes.len() as u64 > MAX_FILE {
        let text = format!("the file is larger than {MAX_FILE} bytes");
        return Err(Fault::whole(&name, text, "split it into one file for each party"));
    }
    let text = String::from_utf8(bytes)
        .map_err(|_| Fault::whole(&name, "the file is not UTF-8", "save it as UTF-8"))?;
    let value = read(&name, &text)?;
    Ok((value, text))
}

/// Refuses a text that may have been cut: the end mark of YAML must be its last line.
pub fn check_end(name: &str, text: &str) -> Result<(), Fault> {
    let last = text.lines().rev().find(|l| !l.trim().is_empty());
    if last == Some("...") && text.ends_with('\n') {
        return Ok(());
    }
    Err(Fault {
        file: name.into(),
        line: text.lines().count() as u64,
        column: 1,
        text: "the file does not end with the line '...': it may have been cut".into(),
        hint: "complete the file, then end it with a line of three dots".into(),
    })
}

/// Reads a whole text or nothing.
pub fn read<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Fault> {
    serde_saphyr::from_str_with_options(text, options()).map_err(|e| {
        let plain = e.without_snippet();
        let at = plain.location();
        Fault {
            file: name.into(),
            line: at.map_or(0, |l| l.line()),
            column: at.map_or(0, |l| l.column()),
            text: plain.render().trim().to_string(),
            hint: hint(&plain.to_string()).into(),
        }
    })
}

fn options() -> Options {
    let mut budget = Budget::default();
    budget.max_nodes = MAX_NODES;
    budget.max_aliases = MAX_ALIASES;
    let mut options = Options::default();
    options.budget = Some(budget);
    options.duplicate_keys = DuplicateKeyPolicy::Error;
    options
}

fn hint(text: &str) -> &'static str {
    const HINTS: &[(&str, &str)] = &[
        ("unknown field", "remove the key or correct its spelling"),
        ("duplicate", "keep one of the two keys"),
        ("missing field", "add the key"),
        ("budget", "the file is too deep or repeats itself too often; write it out plainly"),
        ("one of", "write the unit right after the number"),
    ];
    let hit = HINTS.iter().find(|h| text.contains(h.0));
    hit.map_or("see docs/OPERATING.md for what a file may hold", |h| h.1)
}

/// The line of a nested key, found by descending key by key; 0 if it is not there.
fn find(source: &str, path: &[&str]) -> u64 {
    let mut want = path.iter();
    let Some(mut key) = want.next() else { return 0 };
    let mut found = 0;
    for (n, line) in source.lines().enumerate() {
        let word = line.trim_start().trim_start_matches("- ");
        let hit = word.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(':'));
        if !hit {
            continue;
        }
        found = n as u64 + 1;
        match want.next() {
            Some(next) => key = next,
            None => return found,
        }
    }
    found
}
