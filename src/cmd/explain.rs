use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use operator::{ExplainQuery, Explanation};

use super::table::render_table;
use super::{Session, UsageError};

/// Explains what became of a request, or what would become of one.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Args {
    /// request id that the asked VM has seen
    #[argh(positional)]
    request: Option<String>,
    /// path of a request that could be made
    #[argh(option)]
    path: Option<String>,
    /// method of that request, GET by default
    #[argh(option, default = "\"GET\".to_owned()")]
    method: String,
    /// organisation that it would run for
    #[argh(option)]
    organisation: Option<String>,
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    let query = match (args.request, args.path) {
        (Some(id), None) => ExplainQuery::RequestId(id.into()),
        (None, Some(path)) => ExplainQuery::Hypothetical {
            method: args.method.into(),
            path: path.into(),
            organisation: args.organisation.map(Into::into),
        },
        _ => return Err(UsageError::error("give either a request id or --path PATH")),
    };
    let explanation = session.client().await?.explain(query).await?;
    session.report(&explanation, render)
}

fn render(explanation: &Explanation) -> String {
    let Explanation { route, service, outcome, steps } = explanation;
    let name = |name: &Option<Box<str>>| name.as_deref().unwrap_or("none").to_owned();
    let rows: Vec<_> = steps
        .iter()
        .map(|step| {
            let after = step.after.map(|t| format!("{:.1} ms", t.as_secs_f64() * 1e3));
            vec![after.unwrap_or_else(|| "-".into()), step.vm.to_string(), step.text.to_string()]
        })
        .collect();
    let head = format!("route {}, service {}: {outcome}\n", name(route), name(service));
    head + &render_table(&["AFTER", "VM", "STEP"], &rows)
}
