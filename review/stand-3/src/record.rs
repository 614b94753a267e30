//! What was sent, answered and run, with times since the start of the script.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started: Instant,
    content: Mutex<(BufWriter<File>, Vec<(Duration, String)>)>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = BufWriter::new(File::create(path).expect("the record can be written"));
        Record { started: Instant::now(), content: Mutex::new((file, Vec::new())) }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut content = self.content.lock().expect("the record");
        let now = self.now();
        let _ = writeln!(content.0, "{:9.3} {text}", now.as_secs_f64());
        content.1.push((now, text.into()));
    }

    /// All lines that begin with a word, with their times.
    pub fn lines(&self, word: &str) -> Vec<(Duration, String)> {
        let content = self.content.lock().expect("the record");
        let begins = |text: &str| text.split(' ').next() == Some(word);
        content.1.iter().filter(|(_, text)| begins(text)).cloned().collect()
    }

    pub fn flush(&self) {
        let _ = self.content.lock().expect("the record").0.flush();
    }
}
