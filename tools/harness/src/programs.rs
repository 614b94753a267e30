use std::ffi::OsString;
use std::path::Path;

use anyhow::{Context, bail};

/// How the programs of a fleet are started.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Command that takes a settings file.
    pub daemon: Vec<OsString>,
    /// Command that takes `platform` or `backend` and its options.
    pub standins: Vec<OsString>,
}

impl Programs {
    /// The daemon with this path and the stand-ins beside it.
    ///
    /// # Errors
    /// If the stand-ins are not built.
    pub fn next_to(daemon: &str) -> anyhow::Result<Self> {
        let folder = Path::new(daemon).parent().context("the daemon's path has no folder")?;
        let standins = folder.join("standins");
        if !standins.is_file() {
            bail!("{} is missing; run `cargo build -p standins`", standins.display());
        }
        Ok(Programs { daemon: vec![daemon.into()], standins: vec![standins.into()] })
    }
}
