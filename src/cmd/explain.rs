use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use operator::{ExplainQuery, Explanation};

use super::table::render_table;
use super::{Session, UsageError};

/// Explains how a request was handled, or how a given request would be handled.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Args {
    /// id of a request that the queried VM received
    #[argh(positional)]
    request: Option<String>,
    /// path of a hypothetical request
    #[argh(option)]
    path: Option<String>,
    /// method of the hypothetical request, GET by default
    #[argh(option, default = "\"GET\".to_owned()")]
    method: String,
    /// organisation that the hypothetical request is accounted to
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
    session.print_result(&explanation, render)
}

fn render(explanation: &Explanation) -> String {
    let Explanation { route, service, outcome, steps } = explanation;
    let name_or_none = |name: &Option<Box<str>>| name.as_deref().unwrap_or("none").to_owned();
    let rows: Vec<_> = steps
        .iter()
        .map(|step| {
            let after = step.after.map(|t| format!("{:.1} ms", t.as_secs_f64() * 1e3));
            vec![after.unwrap_or_else(|| "-".into()), step.vm.to_string(), step.text.to_string()]
        })
        .collect();
    let head =
        format!("route {}, service {}: {outcome}\n", name_or_none(route), name_or_none(service));
    head + &render_table(&["AFTER", "VM", "STEP"], &rows)
}
