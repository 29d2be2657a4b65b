//! Runs `myrtlectl` as a process against stand-ins of the platform.

use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::process::Command;

use myrtle_standin::{Control, LogMode, World, WorldConfig};

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

/// A file that is removed when dropped.
struct TempFile(PathBuf);

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn file(text: &str) -> TempFile {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("myrtlectl-{}-{n}.yaml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    TempFile(path)
}

async fn ctl(world: &World, args: &[&str], file: Option<&TempFile>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_myrtlectl"));
    command.env("MYRTLE_LOG", world.log_at.to_string());
    command.env("MYRTLE_HOSTS", world.hosts_at.to_string());
    command.args(args);
    command.args(file.map(|f| &f.0));
    command.output().await.unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn printed(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

async fn world() -> std::sync::Arc<World> {
    World::start(&WorldConfig { workers: 1, ..WorldConfig::default() }).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_file_is_refused_with_its_line() {
    let world = world().await;
    let bad = file(&GOOD.replace("price: 1", "price: -1"));
    let output = ctl(&world, &["check"], Some(&bad)).await;
    assert_eq!(code(&output), 2);
    assert!(printed(&output).contains("yaml:8:"), "{}", printed(&output));
    assert!(printed(&output).contains("hint:"), "{}", printed(&output));
    let cut = file(GOOD.strip_suffix("...\n").unwrap());
    let output = ctl(&world, &["apply"], Some(&cut)).await;
    assert_eq!(code(&output), 2);
    assert!(printed(&output).contains("may have been cut"), "{}", printed(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_is_applied_once_and_a_concurrent_one_is_refused() {
    let world = world().await;
    let good = file(GOOD);
    let output = ctl(&world, &["apply", "--by", "anna"], Some(&good)).await;
    assert_eq!((code(&output), printed(&output).contains("accepted as version 1")), (0, true));
    let output = ctl(&world, &["diff"], Some(&good)).await;
    assert!(printed(&output).contains("nothing changes"), "{}", printed(&output));
    let other = file(&GOOD.replace("rate: 10", "rate: 20"));
    let output = ctl(&world, &["apply", "--base", "0", "--by", "bela"], Some(&other)).await;
    assert_eq!(code(&output), 3);
    let text = "conflict: made from version 0, current is 1, by anna";
    assert!(printed(&output).contains(text), "{}", printed(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_append_with_a_lost_answer_is_applied_once() {
    let world = world().await;
    world.control(Control::Log(LogMode::Lose)).unwrap();
    let output = ctl(&world, &["apply"], Some(&file(GOOD))).await;
    assert_eq!(code(&output), 0, "{}", printed(&output));
    assert_eq!(world.log.appends().0, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_log_nothing_is_reported_as_accepted() {
    let world = world().await;
    world.control(Control::Log(LogMode::Away)).unwrap();
    let output = ctl(&world, &["apply"], Some(&file(GOOD))).await;
    assert_eq!(code(&output), 5, "{}", printed(&output));
    assert!(!printed(&output).contains("accepted"));
}
