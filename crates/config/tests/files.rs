//! Configuration files: faults have their place, and a faulty file has no effect.

use myrtle_config::{
    Change, Config, Desired, Fault, Refusal, Settings, Verdict, check_end, check_refs, read,
    read_file,
};
use rstest::rstest;
use uuid::Uuid;

const VALID: &str = "\
scope: platform
data_centres:
  a:
    region: r
    hosts: [s1]
services:
  gate:
    slots: 8
    connections: 64
    target: 150ms
classes:
  cheap:
    price: 1
    deadline: 2s
parties:
  helios:
    token_sha256: 0000000000000000000000000000000000000000000000000000000000000000
    rate: 10
    classes: [cheap]
jobs:
  report:
    party: helios
    class: cheap
    kind: report
    data_centre: a
    cores: 1
    memory: 1GB
    run_time: 3s
";

fn faults(text: &str) -> Vec<Fault> {
    match read::<Desired>("f.yaml", text) {
        Ok(desired) => check_refs("f.yaml", text, &desired, None),
        Err(fault) => vec![fault],
    }
}

#[test]
fn a_valid_file_has_no_faults() {
    assert_eq!(faults(VALID), []);
}

#[rstest]
#[case::unknown_key("slots: 8", "slotz: 8", 8, "slotz")]
#[case::wrong_unit("target: 150ms", "target: 150", 10, "ms, s, m, h")]
#[case::wrong_size("memory: 1GB", "memory: 1 pound", 27, "MB, GB, TB")]
#[case::negative_price("price: 1", "price: -4", 13, "negative price")]
#[case::no_connections("connections: 64", "connections: 4", 7, "64|4 connections")]
#[case::no_hash("token_sha256: 00", "token_sha256: zz", 17, "no SHA-256")]
#[case::unknown_class("class: cheap", "class: dear", 23, "may not use the class 'dear'")]
#[case::unknown_party("party: helios", "party: kyma", 22, "names the party 'kyma'")]
#[case::unknown_centre("data_centre: a", "data_centre: z", 25, "data centre 'z'")]
#[case::no_run_time("    run_time: 3s\n", "", 21, "a watcher with a run time, or neither")]
#[case::no_tasks("cores: 1", "cores: 1\n    tasks: 0", 27, "has 0 tasks")]
#[case::duplicate_key("scope: platform", "scope: platform\nscope: other", 2, "uplicate")]
#[case::no_number("slots: 8", "slots: many", 8, "")]
fn a_fault_has_its_line_and_a_hint(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: u64,
    #[case] part: &str,
) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID);
    let faults = faults(&text);
    let fault = faults.first().expect("there is a fault");
    assert!(fault.line.abs_diff(line) <= 1, "{fault}");
    assert!(part.split('|').any(|w| fault.text.contains(w)), "{fault}");
    assert!(!fault.hint.is_empty());
    assert!(fault.to_string().starts_with("f.yaml:"));
}

#[test]
fn a_file_truncated_anywhere_is_refused() {
    let whole = format!("{VALID}...\n");
    assert_eq!(check_end("f", &whole), Ok(()));
    for end in 0..whole.len() {
        let fault = check_end("f", &whole[..end]).expect_err("the text is truncated");
        assert!(!fault.hint.is_empty());
    }
}

#[test]
fn an_expansion_bomb_is_refused() {
    let mut bomb = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for n in 1..12 {
        let before = format!("*a{}", n - 1);
        let list = vec![before; 9].join(", ");
        bomb.push_str(&format!("a{n}: &a{n} [{list}]\n"));
    }
    bomb.push_str("scope: platform\n");
    let fault = read::<Desired>("bomb.yaml", &bomb).unwrap_err();
    assert!(!fault.hint.is_empty(), "{fault}");
}

#[test]
fn a_huge_file_is_refused() {
    let path = std::env::temp_dir().join(format!("myrtle-huge-{}.yaml", std::process::id()));
    let file = std::fs::File::create(&path).unwrap();
    file.set_len(100 << 20).unwrap();
    let fault = read_file::<Desired>(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert!(fault.text.contains("larger than"), "{fault}");
}

fn change(base: u64, by: &str, text: &str) -> Change {
    let desired = read("f", text).unwrap();
    Change { id: Uuid::now_v7(), base, by: by.into(), desired }
}

#[test]
fn of_two_concurrent_changes_one_is_accepted() {
    let mut config = Config::default();
    assert_eq!(config.fold(0, change(0, "anna", VALID)), Verdict::Accepted(1));
    let other = VALID.replace("rate: 10", "rate: 20");
    assert_eq!(config.fold(1, change(1, "anna", &other)), Verdict::Accepted(2));
    let refusal = Refusal::Conflict { base: 1, current: 2, by: "anna".into() };
    assert_eq!(config.fold(2, change(1, "bela", VALID)), Verdict::Refused(refusal.clone()));
    assert_eq!(refusal.to_string(), "conflict: made from version 1, current is 2, by anna");
    assert_eq!(config.version, 2);
}

#[test]
fn a_repeated_append_counts_once() {
    let mut config = Config::default();
    let change = change(0, "anna", VALID);
    assert_eq!(config.fold(0, change.clone()), Verdict::Accepted(1));
    assert_eq!(config.fold(1, change.clone()), Verdict::Accepted(1));
    assert_eq!(config.verdict(change.id), Some(Verdict::Accepted(1)));
    assert_eq!(config.version, 1);
}

#[test]
fn an_older_state_is_never_adopted() {
    let mut config = Config::default();
    config.fold(0, change(0, "anna", VALID));
    let old = config.clone();
    config.fold(1, change(1, "anna", &VALID.replace("rate: 10", "rate: 20")));
    let newest = config.clone();
    assert!(!config.catch_up(old));
    assert_eq!(config, newest);
}

#[test]
fn the_fold_refuses_a_change_that_contradicts_the_configuration_in_force() {
    let mut config = Config::default();
    let file = "scope: kyma\njobs:\n  x:\n    party: kyma\n    class: cheap\n    kind: k\n    \
               data_centre: a\n    cores: 1\n    memory: 1GB\n    run_time: 1s\n";
    let verdict = config.fold(0, change(0, "kyma", file));
    assert!(matches!(verdict, Verdict::Refused(Refusal::Invalid(_))), "{verdict:?}");
    assert_eq!(config.version, 0);
}

const SETTINGS: &str = "\
name: h1
data_centre: a
region: r
http: 127.0.0.1:8080
peer: 127.0.0.1:8081
platform:
  log: 127.0.0.1:9000
  hosts: 127.0.0.1:9001
";

#[rstest]
#[case::name_for_address("http: 127.0.0.1:8080", "http: example.org:80", 4)]
#[case::unknown_key("region: r", "region: r\ncolour: red", 4)]
#[case::same_ports("peer: 127.0.0.1:8081", "peer: 127.0.0.1:8080", 5)]
#[case::port_0_unannounced("http: 127.0.0.1:8080", "http: 127.0.0.1:0", 4)]
#[case::wrong_unit("region: r", "region: r\ndrain: 10", 4)]
#[case::log_port_0("log: 127.0.0.1:9000", "log: 127.0.0.1:0", 7)]
fn faulty_settings_are_refused(#[case] from: &str, #[case] to: &str, #[case] line: u64) {
    let text = SETTINGS.replacen(from, to, 1);
    let faults = match read::<Settings>("s.yaml", &text) {
        Ok(settings) => settings.faults("s.yaml", &text),
        Err(fault) => vec![fault],
    };
    let fault = faults.first().expect("there is a fault");
    assert!(fault.line.abs_diff(line) <= 1, "{fault}");
}

#[test]
fn valid_settings_have_no_faults() {
    let settings: Settings = read("s.yaml", SETTINGS).unwrap();
    assert_eq!(settings.faults("s.yaml", SETTINGS), []);
}
