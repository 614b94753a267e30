//! Generates the code of the operators interface from its schema.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use argh::FromArgs;

/// Folder of the schema, and the schema inside it.
const PROTO: (&str, &str) = ("proto", "papayareel/v1/operator.proto");
/// Folder of the generated code.
const CODE: &str = "components/operator/src/gen";

/// Generates the code of the operators interface from its schema. Run it at the root.
#[derive(FromArgs)]
struct Args {
    /// compare with the committed code and write nothing; fails if the code is stale
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("schema: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let code = root.join(CODE);
    if !args.check {
        return generate(&root, &code);
    }
    // The committed code is compared file by file with what the schema gives now.
    let fresh = Scratch::create()?;
    generate(&root, &fresh.0)?;
    let (want, have) = (list(&fresh.0)?, list(&code)?);
    ensure!(
        want == have,
        "{CODE} has other files than the schema gives; run `cargo run -p schema`"
    );
    for name in want {
        let same = fs::read(fresh.0.join(&name))? == fs::read(code.join(&name))?;
        ensure!(same, "{CODE}/{name} is stale; run `cargo run -p schema` and commit the result");
    }
    Ok(())
}

fn generate(root: &Path, code: &Path) -> Result<()> {
    let (folder, file) = PROTO;
    let files = protox::compile([file], [root.join(folder)]).context("reading the schema")?;
    tonic_prost_build::configure()
        .emit_rerun_if_changed(false)
        .out_dir(code)
        .compile_fds(files)
        .context("writing the code")
}

fn list(folder: &Path) -> Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder).with_context(|| format!("reading {}", folder.display()))? {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// A folder that is deleted at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn create() -> Result<Self> {
        let path = std::env::temp_dir().join(format!("papayareel-schema-{}", std::process::id()));
        fs::create_dir_all(&path).with_context(|| format!("creating {}", path.display()))?;
        Ok(Scratch(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
