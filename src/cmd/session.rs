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

/// Invalid arguments or an invalid file, reported with exit code 2.
#[derive(Debug)]
pub struct UsageError(String);

impl UsageError {
    /// Creates an error with this text, which must name the remedy.
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

/// Contents of the file that `--settings` names.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    operator: Option<SocketAddr>,
    token_file: Option<PathBuf>,
    /// Seed for generated keys and change ids, for tests.
    seed: Option<u64>,
}

/// Lazily opened connection to a VM, and the output format.
pub struct Session {
    address: SocketAddr,
    token: String,
    client: Option<Client>,
    /// Generator of keys and change ids.
    pub secrets: SecretGenerator,
    change_id: Option<String>,
    json: bool,
}

impl Session {
    /// Reads the settings and the token file; does not connect yet.
    pub fn open(args: &Args) -> Result<Session> {
        let settings = match &args.settings {
            Some(path) => read_settings(path)?,
            None => Settings::default(),
        };
        let Some(address) = args.operator.or(settings.operator) else {
            return Err(UsageError::error(
                "no operator address; give --operator IP:PORT or --settings FILE",
            ));
        };
        let Some(token_file) = args.token_file.as_ref().or(settings.token_file.as_ref()) else {
            return Err(UsageError::error(
                "no token file; give --token-file FILE or --settings FILE",
            ));
        };
        Ok(Session {
            address,
            token: read_file(token_file)?.trim().to_owned(),
            client: None,
            secrets: SecretGenerator::new(settings.seed),
            change_id: args.change_id.clone(),
            json: args.json,
        })
    }

    /// Returns the client; connects on the first call.
    pub async fn client(&mut self) -> Result<&mut Client, OperatorError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => Client::connect(self.address, &self.token).await?,
        };
        Ok(self.client.insert(client))
    }

    /// Reads the configuration entries of these kinds and the version; an empty list reads the
    /// whole configuration.
    pub async fn config(&mut self, kinds: &[EntryKind]) -> Result<FleetConfig, OperatorError> {
        self.client().await?.read_entries(kinds).await
    }

    /// Applies changes to the version that `base` was read at; the fleet rejects them if a newer
    /// version exists.
    pub async fn commit(&mut self, base: &FleetConfig, changes: Vec<Change>) -> Result<Applied> {
        let change_id = match &self.change_id {
            Some(id) => id.clone(),
            None => self.secrets.generate_change_id(),
        };
        let base_version = base.version;
        let set = ChangeSet { change_id: change_id.into(), base_version, changes };
        Ok(self.client().await?.apply(&set).await?)
    }

    /// Applies one change and prints the new version.
    pub async fn commit_one(&mut self, base: &FleetConfig, change: Change) -> Result<ExitCode> {
        let applied = self.commit(base, vec![change]).await?;
        self.print_result(&applied, |applied| format!("accepted as version {}\n", applied.version))
    }

    /// Prints a result as JSON with `--json`, else as text.
    pub fn print_result<T: Serialize>(
        &self,
        value: &T,
        render: impl FnOnce(&T) -> String,
    ) -> Result<ExitCode> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{}", render(value));
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Prints entries as JSON with `--json`, else as a table.
    pub fn print_entries<T: Serialize>(
        &self,
        entries: &T,
        header: &[&str],
        rows: Vec<Vec<String>>,
    ) -> Result<ExitCode> {
        self.print_result(entries, |_| render_table(header, &rows))
    }
}

fn read_settings(path: &Path) -> Result<Settings> {
    serde_json::from_str(&read_file(path)?).map_err(|e| {
        let format = "{\"operator\": \"IP:PORT\", \"token_file\": \"FILE\"}";
        UsageError::error(format!("{}: {e}; use the form {format}", path.display()))
    })
}

/// Reads a file named by the operator; failures are usage errors.
pub fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path)
        .map_err(|e| UsageError(format!("{e}; check the path and its permissions")))
        .with_context(|| format!("reading {}", path.display()))
}

/// Error for a name that the configuration does not contain.
pub fn not_found(kind: &str, id: &str) -> anyhow::Error {
    anyhow::anyhow!("{kind} {id:?} does not exist; `papayareel {kind} list` shows the names")
}

/// Fails if creating an entry would replace a different one and `--replace` is not given. Creating
/// an identical entry is allowed, so that a command with an unknown outcome can be repeated with
/// the same change id.
pub fn check_overwrite<T: PartialEq>(
    kind: &str,
    id: &str,
    existing: Option<&T>,
    new: &T,
    replace: bool,
) -> Result<()> {
    if replace || existing.is_none_or(|existing| existing == new) {
        return Ok(());
    }
    bail!("{kind} {id:?} already exists; give --replace to change it, or use another name")
}
