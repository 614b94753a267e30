use std::io::Write;
use std::path::Path;
use std::time::Instant;

use crate::Result;

/// Record of a run, in `record.txt` of the case's folder and on standard output.
pub struct Record {
    file: std::fs::File,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the first argument of the program names.
    pub fn create() -> Result<Record> {
        let folder = std::env::args().nth(1).ok_or("the first argument names no folder")?;
        let file = std::fs::File::create(Path::new(&folder).join("record.txt"))?;
        Ok(Record { file, started: Instant::now() })
    }

    /// Adds a line with the time since the start, in seconds.
    pub fn add(&mut self, line: impl AsRef<str>) {
        let line = format!("{:7.3} s  {}", self.started.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        // A record that cannot be written is missed by whoever reads it; the verdict stands.
        let _ = writeln!(self.file, "{line}");
    }
}
