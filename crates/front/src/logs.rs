//! Structured log lines on standard output that never block the host.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use env_logger::{Builder, Env, Target};

/// The largest number of lines queued for a slow reader; further ones are dropped and counted.
const QUEUE_LINES: usize = 4096;

/// The number of lines dropped since the last write.
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

/// Sets up logs with one decision a line: `wall steady level host event=...`.
pub fn start(host: &str) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
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
        // All queued lines are written in one call.
        while let Ok(more) = receiver.try_recv() {
            lines.extend(more);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(lines, "event=lines-dropped count={dropped}");
        }
        // Without a reader the failure can't be reported.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
