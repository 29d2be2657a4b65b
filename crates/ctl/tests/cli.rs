//! The command line against stand-ins, as an operator runs it.

use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::process::Command;

use myrtle_standin::{Control, LogMode, Plan, World};

const GOOD: &str = "\
scope: platform
data_centres:
  attiki-a:
    region: attiki
    hosts: [s0]
classes:
  cheap:
    price: 1
    deadline: 2s
parties:
  helios:
    token_sha256: 0000000000000000000000000000000000000000000000000000000000000000
    rate: 10
    classes: [cheap]
...
";

/// A file that goes when the test ends.
struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn file(text: &str) -> File {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("myrtlectl-{}-{n}.yaml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    File(path)
}

async fn run(world: &World, words: &[&str], file: Option<&File>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_myrtlectl"));
    command.env("MYRTLE_LOG", world.log_at.to_string());
    command.env("MYRTLE_HOSTS", world.hosts_at.to_string());
    command.args(words);
    command.args(file.map(|f| &f.0));
    command.output().await.unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn said(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

async fn world() -> std::sync::Arc<World> {
    World::start(&Plan { workers: 1, ..Plan::default() }).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_file_is_refused_with_its_line() {
    let world = world().await;
    let bad = file(&GOOD.replace("price: 1", "price: -1"));
    let output = run(&world, &["check"], Some(&bad)).await;
    assert_eq!(code(&output), 2);
    assert!(said(&output).contains("yaml:8:"), "{}", said(&output));
    assert!(said(&output).contains("hint:"), "{}", said(&output));
    let cut = file(GOOD.strip_suffix("...\n").unwrap());
    let output = run(&world, &["apply"], Some(&cut)).await;
    assert_eq!(code(&output), 2);
    assert!(said(&output).contains("may have been cut"), "{}", said(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_is_applied_once_and_a_racing_one_is_told() {
    let world = world().await;
    let good = file(GOOD);
    let output = run(&world, &["apply", "--by", "anna"], Some(&good)).await;
    assert_eq!((code(&output), said(&output).contains("accepted as version 1")), (0, true));
    let output = run(&world, &["diff"], Some(&good)).await;
    assert!(said(&output).contains("nothing changes"), "{}", said(&output));
    let other = file(&GOOD.replace("rate: 10", "rate: 20"));
    let output = run(&world, &["apply", "--base", "0", "--by", "bela"], Some(&other)).await;
    assert_eq!(code(&output), 3);
    let text = "conflict: made from version 0, current is 1, by anna";
    assert!(said(&output).contains(text), "{}", said(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_append_whose_answer_is_lost_is_found_again() {
    let world = world().await;
    world.control(Control::Log(LogMode::Lose)).unwrap();
    let output = run(&world, &["apply"], Some(&file(GOOD))).await;
    assert_eq!(code(&output), 0, "{}", said(&output));
    assert_eq!(world.log.appends().0, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_log_nothing_is_said_to_be_accepted() {
    let world = world().await;
    world.control(Control::Log(LogMode::Away)).unwrap();
    let output = run(&world, &["apply"], Some(&file(GOOD))).await;
    assert_eq!(code(&output), 5, "{}", said(&output));
    assert!(!said(&output).contains("accepted"));
}
