//! `yokespoke get`.

use node::owner::operators::status;

use crate::args;
use crate::client;
use crate::exit;
use crate::printer;

/// Lists resources, or shows one.
///
/// # Errors
///
/// Fails when the node does not answer or the resource does not exist.
pub async fn run(args: &args::Get) -> anyhow::Result<exit::Code> {
    let client = client::Client::new(&args.server)?;
    let items = match &args.name {
        Some(name) => vec![client.show(args.kind, name).await?],
        None => client.list(args.kind).await?.items,
    };
    match args.output {
        args::Output::Json => printer::line(&serde_json::to_string_pretty(&items)?),
        args::Output::Yaml => {
            for item in &items {
                printer::raw(&format!("---\n{}", serde_yaml_ng::to_string(&item.resource)?));
            }
        }
        args::Output::Table => {
            let rows: Vec<Vec<String>> = items.iter().map(row).collect();
            printer::line(&printer::table(&["NAME", "REVISION", "STATE", "LAGGING"], &rows));
        }
    }
    Ok(exit::Code::Done)
}

fn row(item: &status::Item) -> Vec<String> {
    let state = match item.in_force {
        true => "in force",
        false => "accepted",
    };
    let name = item.resource.name().to_owned();
    vec![name, item.revision.to_string(), state.to_owned(), client::names(&item.lagging)]
}
