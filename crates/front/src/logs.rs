//! Structured lines on standard output that never block the host.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use env_logger::{Builder, Env, Target};

/// Lines that wait for a slow reader; more are dropped and counted.
const WAITING: usize = 4096;

/// Lines that were dropped since the last one that got through.
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct Lines(SyncSender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.0.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Sets up logs: `time level host event=...`, one decision a line.
pub fn start(host: &str) {
    let (sender, receiver) = sync_channel(WAITING);
    std::thread::spawn(move || write(&receiver));
    let host: Arc<str> = host.into();
    let level = Env::default().default_filter_or("info,tarpc=error");
    Builder::from_env(level)
        .target(Target::Pipe(Box::new(Lines(sender))))
        .format(move |out, record| {
            let at = crate::clock::wall();
            let now = crate::clock::now();
            writeln!(out, "{at} {now} {} {host} {}", record.level(), record.args())
        })
        .init();
}

fn write(receiver: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(mut lines) = receiver.recv() {
        // What has come meanwhile goes out in one call.
        while let Ok(more) = receiver.try_recv() {
            lines.extend(more);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(lines, "event=lines-dropped count={dropped}");
        }
        // Nobody is left to be told when the reader has gone.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
