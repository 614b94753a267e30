use std::ffi::OsString;
use std::path::Path;

use anyhow::{Context, bail};

/// Commands that start the programs of a fleet.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Command of the daemon; its argument is a settings file.
    pub daemon: Vec<OsString>,
    /// Command of the stand-ins; its arguments are `platform` or `backend` and options.
    pub standins: Vec<OsString>,
}

impl Programs {
    /// Uses the daemon at this path and the stand-ins in the same folder.
    ///
    /// # Errors
    /// If the stand-ins are not built.
    pub fn next_to(daemon: &str) -> anyhow::Result<Self> {
        let folder = Path::new(daemon).parent().context("the path of the daemon has no folder")?;
        let standins = folder.join("standins");
        if !standins.is_file() {
            bail!("{} is missing; run `cargo build -p standins`", standins.display());
        }
        Ok(Programs { daemon: vec![daemon.into()], standins: vec![standins.into()] })
    }
}
