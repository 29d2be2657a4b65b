//! Invalid entries of the worker list by other writers are not used, and valid ones still are.

mod common;

use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use myrtle_standin::WorkerStandin;

use common::{Site, configuration, until};

/// The time for several reads of the list, which is read every 400 ms.
const READ_TIME: Duration = Duration::from_millis(1_500);

#[rstest]
#[case::an_unknown_state("/state", "\"standby\"")]
#[case::a_state_that_is_a_number("/state", "1")]
#[case::no_state("/state", "")]
#[case::an_unknown_service("/service", "\"other\"")]
#[case::no_room("/capacity", "")]
#[case::a_room_that_is_text("/capacity/cpu", "\"many\"")]
#[case::labels_of_another_type("/labels", "\"a\"")]
#[case::no_version("/version", "")]
#[case::an_array("", "[1]")]
#[case::no_address("/address", "")]
#[tokio::test]
async fn an_invalid_entry_of_another_writer_is_not_used(#[case] at: &str, #[case] value: &str) {
    let site = Site::start(Duration::from_millis(60)).await;
    let runner_z =
        WorkerStandin::start("i-z", Duration::from_millis(60), site.book.clone()).await.unwrap();
    let mut entry: Value = serde_json::from_str(&runner_z.listing()).unwrap();
    match serde_json::from_str(value) {
        Ok(value) => *entry.pointer_mut(at).unwrap() = value,
        Err(_) => drop(entry.as_object_mut().unwrap().remove(&at[1..])),
    }
    site.store.put("keyed.servers", "i-z", entry.to_string().as_bytes());
    site.store.put("keyed.servers", "i-a", b"\xff\x00{");
    sleep(READ_TIME).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    site.wait_completed("h2", "00000000000000c1").await;
    assert_eq!(runner_z.calls(), 0, "the worker of the invalid entry was called");
    let used = site.runners.iter().filter(|runner| runner.calls() > 0).count();
    assert_eq!(used, site.runners.len(), "not all other workers were used");
}

#[tokio::test]
async fn a_worker_is_used_once_the_configuration_names_its_service() {
    let site = Site::start(Duration::from_millis(60)).await;
    let runner_z =
        WorkerStandin::start("i-z", Duration::from_millis(60), site.book.clone()).await.unwrap();
    let entry = runner_z.listing().replace("\"s\"", "\"other\"");
    site.store.put("keyed.servers", "i-z", entry.as_bytes());
    sleep(READ_TIME).await;
    let mut next = configuration(2);
    let services = next["services"].as_array_mut().unwrap();
    services.push(json!({ "name": "other", "rejects_overload": true }));
    site.store.put("keyed.op", "config", next.to_string().as_bytes());
    until(|| async { runner_z.calls() > 0 }).await;
}

#[tokio::test]
async fn a_worker_with_an_overwritten_entry_gets_no_new_runs_and_finishes_its_own() {
    let site = Site::start(Duration::from_millis(1_500)).await;
    assert_eq!(site.submit("h1", "00000000000000c2", 4).await, 200);
    until(|| async { site.book.runs().len() == 4 }).await;
    let other = &site.runners[0];
    site.store.put("keyed.servers", &other.name, b"{\"state\":\"ready\"}");
    site.wait_completed("h1", "00000000000000c2").await;
    assert_eq!(site.book.runs().len(), 5, "nothing ran twice");
    assert_eq!(site.book.overlapping(), vec![]);
    let before = site.book.runs().iter().filter(|run| run.worker == other.name).count();
    assert_eq!(site.submit("h1", "00000000000000c3", 8).await, 200);
    site.wait_completed("h1", "00000000000000c3").await;
    let after = site.book.runs().iter().filter(|run| run.worker == other.name).count();
    assert_eq!(after, before, "a worker with an invalid entry got a new run");
}
