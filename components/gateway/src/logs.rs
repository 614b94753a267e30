use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use anyhow::Context;
use log::LevelFilter;
use settings::{Log, LogFormat};

/// Lines that wait for a slow reader of standard output; more are dropped and counted.
const WAITING_LINES: usize = 2048;

/// Writer that hands lines to a thread, so that a slow reader delays no request.
struct Lines {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for Lines {
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

/// Sends the log of this process to standard output as JSON lines, without ever waiting for it.
pub fn init() -> anyhow::Result<()> {
    let log = Log { level: "info".into(), format: LogFormat::Json, file: None };
    let (sender, receiver) = sync_channel::<Vec<u8>>(WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let lost = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || {
            while let Ok(line) = receiver.recv() {
                let mut out = io::stdout().lock();
                // Nobody is left to tell when standard output is closed.
                let _ = out.write_all(&line);
                let count = lost.swap(0, Ordering::Relaxed);
                if count > 0 {
                    let _ = writeln!(out, "{{\"name\":\"lines-dropped\",\"dropped\":{count}}}");
                }
                let _ = out.flush();
            }
        })
        .context("cannot start the log thread")?;
    let lines: Box<dyn Write + Send> = Box::new(Lines { sender, dropped, line: Vec::new() });
    telemetry::log_dispatch(&log)?
        // It writes a line for each call between VMs.
        .level_for("tarpc", LevelFilter::Warn)
        .chain(fern::Output::writer(lines, "\n"))
        .apply()
        .context("a logger is set already; set one per process")
}
