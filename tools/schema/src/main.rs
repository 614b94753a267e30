//! Generates the code of the operator interface from its protobuf schema.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use argh::FromArgs;

/// Include folder of the schema, and the path of the schema within it.
const SCHEMA: (&str, &str) = ("proto", "papayareel/v1/operator.proto");
/// Folder of the generated code.
const CODE_DIR: &str = "components/operator/src/gen";

/// Generates the code of the operator interface from its protobuf schema. Run it at the root.
#[derive(FromArgs)]
struct Args {
    /// compare the committed code with the schema and write nothing; fails if the code is stale
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
    let code = root.join(CODE_DIR);
    if !args.check {
        return generate(&root, &code);
    }
    // Compares the committed code file by file with newly generated code.
    let scratch = ScratchDir::create()?;
    generate(&root, &scratch.0)?;
    let (expected, committed) = (list_files(&scratch.0)?, list_files(&code)?);
    ensure!(
        expected == committed,
        "{CODE_DIR} does not have the files that the schema generates; run `cargo run -p schema`"
    );
    for name in expected {
        let is_current = fs::read(scratch.0.join(&name))? == fs::read(code.join(&name))?;
        ensure!(
            is_current,
            "{CODE_DIR}/{name} is stale; run `cargo run -p schema` and commit the result"
        );
    }
    Ok(())
}

fn generate(root: &Path, code: &Path) -> Result<()> {
    let (folder, file) = SCHEMA;
    let files = protox::compile([file], [root.join(folder)]).context("cannot read the schema")?;
    tonic_prost_build::configure()
        .emit_rerun_if_changed(false)
        .out_dir(code)
        .compile_fds(files)
        .context("cannot write the code")
}

fn list_files(folder: &Path) -> Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in
        fs::read_dir(folder).with_context(|| format!("cannot read {}", folder.display()))?
    {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// Temporary folder that is deleted when dropped.
struct ScratchDir(PathBuf);

impl ScratchDir {
    fn create() -> Result<Self> {
        let path = std::env::temp_dir().join(format!("papayareel-schema-{}", std::process::id()));
        fs::create_dir_all(&path).with_context(|| format!("cannot create {}", path.display()))?;
        Ok(ScratchDir(path))
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
