//! Reads YAML with limits against hostile files and reports the place of a fault.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use derive_more::Display;
use serde::de::DeserializeOwned;
use serde_saphyr::{Budget, DuplicateKeyPolicy, Options};

/// The largest accepted file, in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// The most YAML nodes of a file; an ordinary file of [`MAX_FILE_BYTES`] bytes stays below it.
const MAX_NODES: usize = 400_000;

/// The most YAML aliases of a file; our files need none, an expansion bomb needs many.
const MAX_ALIASES: usize = 16;

/// A fault in a file with its place and a hint for its correction.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{file}:{line}:{column}: {text}\n  hint: {hint}")]
pub struct Fault {
    /// The file's name as the operator gave it.
    pub file: String,
    /// The line from 1, or 0 for the file as a whole.
    pub line: u64,
    /// The column from 1, or 0 for the line as a whole.
    pub column: u64,
    /// The fault.
    pub text: String,
    /// How to correct it.
    pub hint: String,
}

impl std::error::Error for Fault {}

impl Fault {
    /// A fault of the file as a whole.
    pub fn in_file(file: &str, text: impl Into<String>, hint: impl Into<String>) -> Self {
        Self { file: file.into(), line: 0, column: 0, text: text.into(), hint: hint.into() }
    }

    /// A fault at the key that `path` leads to in `source`, or at the deepest key of the path that is there.
    pub fn at(file: &str, source: &str, path: &[&str], text: String, hint: &str) -> Self {
        let line = find(source, path);
        Self { file: file.into(), line, column: 1, text, hint: hint.into() }
    }
}

/// Reads a file of at most [`MAX_FILE_BYTES`] bytes; returns its value and its text.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<(T, String), Fault> {
    let name = path.display().to_string();
    let io_fault =
        |e: std::io::Error| Fault::in_file(&name, e.to_string(), "name a file that can be read");
    let file = File::open(path).map_err(io_fault)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(io_fault)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        let text = format!("the file is larger than {MAX_FILE_BYTES} bytes");
        return Err(Fault::in_file(&name, text, "split it into one file for each party"));
    }
    let text = String::from_utf8(bytes)
        .map_err(|_| Fault::in_file(&name, "the file is not UTF-8", "save it as UTF-8"))?;
    let value = read(&name, &text)?;
    Ok((value, text))
}

/// Refuses a text that may be truncated: its last line must be YAML's end marker.
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

/// Parses a text; `name` is the file's name in faults.
pub fn read<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Fault> {
    serde_saphyr::from_str_with_options(text, options()).map_err(|e| {
        let error = e.without_snippet();
        let location = error.location();
        Fault {
            file: name.into(),
            line: location.map_or(0, |l| l.line()),
            column: location.map_or(0, |l| l.column()),
            text: error.render().trim().to_string(),
            hint: hint(&error.to_string()).into(),
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
    let found = HINTS.iter().find(|h| text.contains(h.0));
    found.map_or("see docs/OPERATING.md for what a file may hold", |h| h.1)
}

/// The line of the deepest key of `path` that is found, searched key by key; 0 if none is.
fn find(source: &str, path: &[&str]) -> u64 {
    let mut keys = path.iter();
    let Some(mut key) = keys.next() else { return 0 };
    let mut last = 0;
    for (n, line) in source.lines().enumerate() {
        let rest = line.trim_start().trim_start_matches("- ");
        let matches = rest.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(':'));
        if !matches {
            continue;
        }
        last = n as u64 + 1;
        match keys.next() {
            Some(next) => key = next,
            None => return last,
        }
    }
    last
}
