use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use config::{Change, ChangeSet, FleetConfig};
use operator::{Applied, Client, EntryKind, OperatorError, SecretGenerator};
use serde::{Deserialize, Serialize};

use crate::cli::Args;

use super::table::render_table;

/// What was typed or read from a file cannot be used.
#[derive(Debug)]
pub struct UsageError(String);

impl UsageError {
    /// An error with this text, which names the remedy.
    pub fn error(text: impl Into<String>) -> anyhow::Error {
        UsageError(text.into()).into()
    }
}

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

/// Settings of the command line.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    operator: Option<SocketAddr>,
    token_file: Option<PathBuf>,
    /// Seed of keys and change ids, for tests.
    seed: Option<u64>,
}

/// A connection, made when it is first needed, and how to show results.
pub struct Session {
    address: SocketAddr,
    token: String,
    client: Option<Client>,
    /// Makes keys and change ids.
    pub secrets: SecretGenerator,
    change_id: Option<String>,
    json: bool,
}

impl Session {
    /// Reads the settings.
    pub fn open(args: &Args) -> Result<Session> {
        let settings = match &args.settings {
            Some(path) => read_settings(path)?,
            None => Settings::default(),
        };
        let Some(address) = args.operator.or(settings.operator) else {
            return Err(UsageError::error(
                "no VM to ask; give --operator IP:PORT or --settings FILE",
            ));
        };
        let Some(file) = args.token_file.as_ref().or(settings.token_file.as_ref()) else {
            return Err(UsageError::error("no token; give --token-file FILE or --settings FILE"));
        };
        Ok(Session {
            address,
            token: read_file(file)?.trim().to_owned(),
            client: None,
            secrets: SecretGenerator::new(settings.seed),
            change_id: args.change_id.clone(),
            json: args.json,
        })
    }

    /// The connection.
    pub async fn client(&mut self) -> Result<&mut Client, OperatorError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => Client::connect(self.address, &self.token).await?,
        };
        Ok(self.client.insert(client))
    }

    /// Reads the entries of these kinds, with the version; no kind reads the whole configuration.
    pub async fn config(&mut self, kinds: &[EntryKind]) -> Result<FleetConfig, OperatorError> {
        self.client().await?.read_entries(kinds).await
    }

    /// Applies changes on top of the version that the operator saw.
    pub async fn commit(&mut self, base: &FleetConfig, changes: Vec<Change>) -> Result<Applied> {
        let change_id = match &self.change_id {
            Some(id) => id.clone(),
            None => self.secrets.generate_change_id(),
        };
        let base_version = base.version;
        let set = ChangeSet { change_id: change_id.into(), base_version, changes };
        Ok(self.client().await?.apply(&set).await?)
    }

    /// Applies one change and reports the version.
    pub async fn commit_one(&mut self, base: &FleetConfig, change: Change) -> Result<ExitCode> {
        let applied = self.commit(base, vec![change]).await?;
        self.report(&applied, |applied| format!("accepted as version {}\n", applied.version))
    }

    /// Shows a result as JSON or as text for people.
    pub fn report<T: Serialize>(
        &self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<ExitCode> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{}", text(value));
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Shows entries as JSON or as a table for people.
    pub fn list<T: Serialize>(
        &self,
        entries: &T,
        header: &[&str],
        rows: Vec<Vec<String>>,
    ) -> Result<ExitCode> {
        self.report(entries, |_| render_table(header, &rows))
    }
}

fn read_settings(path: &Path) -> Result<Settings> {
    serde_json::from_str(&read_file(path)?).map_err(|e| {
        let form = "{\"operator\": \"IP:PORT\", \"token_file\": \"FILE\"}";
        UsageError::error(format!("{}: {e}; use the form {form}", path.display()))
    })
}

/// Reads a file that the operator named.
pub fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path)
        .map_err(|e| UsageError(format!("{e}; check the path and its permissions")))
        .with_context(|| format!("reading {}", path.display()))
}

/// The text of the error for a name that the configuration lacks.
pub fn missing(kind: &str, id: &str) -> anyhow::Error {
    anyhow::anyhow!("{kind} {id:?} does not exist; `papayareel {kind} list` shows the names")
}

/// Refuses to replace an entry by accident. Creating the same entry again is no error, so that a
/// command whose outcome is not known can be given again with its change id.
pub fn check_create<T: PartialEq>(
    kind: &str,
    id: &str,
    old: Option<&T>,
    new: &T,
    replace: bool,
) -> Result<()> {
    if replace || old.is_none_or(|old| old == new) {
        return Ok(());
    }
    bail!("{kind} {id:?} exists; give --replace to change it, or use another name")
}
