use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of what was sent, answered and run, with seconds since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the file named by `RECORD`, or `record.txt`.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2)
        });
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.0 .0.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.0 .1.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes the last line and prints it.
    pub fn verdict(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
    }
}
