use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use anyhow::Context;
use log::LevelFilter;
use settings::{Log, LogFormat};

/// Maximum number of lines queued for a slow reader of standard output; further lines are dropped
/// and counted.
const MAX_QUEUED_LINES: usize = 2048;

/// Passes lines to a thread, so that a slow reader of the log does not delay requests.
struct LineWriter {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        let line = std::mem::take(&mut self.line);
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Logs to standard output as JSON lines without blocking.
pub fn init() -> anyhow::Result<()> {
    let log = Log { level: "info".into(), format: LogFormat::Json, file: None };
    let (sender, receiver) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_lines = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || {
            while let Ok(line) = receiver.recv() {
                let mut out = io::stdout().lock();
                // A closed standard output cannot be reported anywhere.
                let _ = out.write_all(&line);
                let count = dropped_lines.swap(0, Ordering::Relaxed);
                if count > 0 {
                    let _ = writeln!(out, "{{\"name\":\"lines-dropped\",\"dropped\":{count}}}");
                }
                let _ = out.flush();
            }
        })
        .context("cannot start the log thread")?;
    let writer: Box<dyn Write + Send> = Box::new(LineWriter { sender, dropped, line: Vec::new() });
    telemetry::log_dispatch(&log)?
        // The library logs each call between VMs at the info level.
        .level_for("tarpc", LevelFilter::Warn)
        .chain(fern::Output::writer(writer, "\n"))
        .apply()
        .context("a logger is already set; set one per process")
}
