//! The page on errors matches the code.

use std::collections::BTreeSet;

use myrtle_base::Kind;

/// The page's table, generated from the code.
fn table() -> String {
    let mut table = String::from("| kind | status | run | what to do |\n|---|---|---|---|\n");
    for kind in Kind::ALL {
        let (word, status, ran, hint) = (kind.word(), kind.status(), kind.ran(), kind.hint());
        table.push_str(&format!("| `{word}` | {status} | {ran} | {hint} |\n"));
    }
    table
}

#[test]
fn the_page_contains_the_table() {
    let page = include_str!("../../../docs/ERRORS.md");
    let table = table();
    assert!(page.contains(&table), "put this table into docs/ERRORS.md:\n{table}");
}

#[test]
fn words_are_unique() {
    let words: BTreeSet<_> = Kind::ALL.iter().map(|k| k.word()).collect();
    assert_eq!(words.len(), Kind::ALL.len());
}
