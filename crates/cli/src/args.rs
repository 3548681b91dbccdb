//! Command line of `yokespoke`.

use std::net;
use std::path;

use model::fingerprint;
use model::resource;

/// Operates yokespoke: declares services, places, caps and drains, and looks at what they do.
#[derive(Clone, Debug, clap::Parser)]
#[command(
    name = "yokespoke",
    version,
    max_term_width = 100,
    after_help = "Exit codes: 0 done, 1 failed, 2 wrong use or wrong declarations, 3 refused, \
                  4 unknown or not yet in force (ask again by the operation's id), 5 a promise was broken (demo)."
)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Command {
    /// Make the fleet's configuration equal to a folder of declarations.
    Apply(Apply),
    /// Show what `apply` would change.
    Diff(Diff),
    /// List resources, or show one.
    Get(Get),
    /// Follow the resources of a kind and their standing.
    Watch(Watch),
    /// Delete a resource.
    Delete(Delete),
    /// Check settings or declarations without a fleet.
    Check(Check),
    /// Make a key of an organisation, or print the digest that declarations hold.
    Key(Key),
    /// Show a node's state.
    Dump(Dump),
    /// Ask a node which nodes to use for a service.
    Lookup(Lookup),
    /// Let requests through again that gateways hold back, since upstreams crash under them.
    Release(Release),
    /// Send requests at a fixed rate and measure their time.
    Load(Load),
    /// Start a whole example on this machine, make it fail, and count what was kept.
    Demo(Demo),
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Where the fleet is, and how to be let in.
#[derive(Clone, Debug, clap::Args)]
pub struct Server {
    /// A node's face for operators.
    #[arg(long, short = 's', value_name = "IP:PORT", env = "YOKESPOKE_SERVER")]
    pub server: net::SocketAddr,

    /// A file that holds the operator's token.
    #[arg(long, value_name = "FILE", env = "YOKESPOKE_TOKEN_FILE")]
    pub token_file: path::PathBuf,
}

/// Arguments of `diff`.
#[derive(Clone, Debug, clap::Args)]
pub struct Diff {
    /// Where the fleet is.
    #[command(flatten)]
    pub server: Server,

    /// What is declared.
    #[command(flatten)]
    pub wanted: Wanted,
}

/// What a fleet's configuration is compared with.
#[derive(Clone, Debug, clap::Args)]
pub struct Wanted {
    /// A file or folder of declarations; folders are read whole.
    #[arg(long, short, value_name = "PATH")]
    pub file: path::PathBuf,

    /// Delete resources that the declarations do not name.
    #[arg(long)]
    pub prune: bool,
}

/// Arguments of `apply`.
#[derive(Clone, Debug, clap::Args)]
pub struct Apply {
    /// Where the fleet is.
    #[command(flatten)]
    pub server: Server,

    /// What is declared.
    #[command(flatten)]
    pub wanted: Wanted,

    /// Show the changes and make none.
    #[arg(long)]
    pub dry_run: bool,

    /// Name the operation, to ask about when the answer is lost.
    #[arg(long, value_name = "ID")]
    pub operation: Option<String>,

    /// Seconds to wait until the change is in force everywhere; 0 does not wait.
    #[arg(long, value_name = "SECONDS", default_value_t = 15)]
    pub wait: u64,
}

/// Arguments of `get`.
#[derive(Clone, Debug, clap::Args)]
pub struct Get {
    /// Where the fleet is.
    #[command(flatten)]
    pub server: Server,

    /// The kind, such as `services`.
    #[arg(value_parser = parse_kind)]
    pub kind: resource::Kind,

    /// The name; all resources of the kind when absent.
    pub name: Option<String>,

    /// How to print.
    #[arg(long, short, value_enum, default_value_t = Output::Table)]
    pub output: Output,
}

/// How to print resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// A line for each resource.
    Table,
    /// YAML, as declarations are written.
    Yaml,
    /// JSON, with the standing.
    Json,
}

/// Arguments of `watch`.
#[derive(Clone, Debug, clap::Args)]
pub struct Watch {
    /// Where the fleet is.
    #[command(flatten)]
    pub server: Server,

    /// The kind, such as `drains`.
    #[arg(value_parser = parse_kind)]
    pub kind: resource::Kind,

    /// Print each line as it comes, in JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `delete`.
#[derive(Clone, Debug, clap::Args)]
pub struct Delete {
    /// Where the fleet is.
    #[command(flatten)]
    pub server: Server,

    /// The kind, such as `drain`.
    #[arg(value_parser = parse_kind)]
    pub kind: resource::Kind,

    /// The name.
    pub name: String,
}

/// Arguments of `check`.
#[derive(Clone, Debug, clap::Args)]
pub struct Check {
    /// Files of settings, and files or folders of declarations.
    #[arg(required = true, value_name = "PATH")]
    pub paths: Vec<path::PathBuf>,
}

/// Arguments of `key`.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Key {
    /// What to do.
    #[command(subcommand)]
    pub command: KeyCommand,
}

/// What to do with a key.
#[derive(Clone, Copy, Debug, clap::Subcommand)]
pub enum KeyCommand {
    /// Print a new key, once, and its digest below it.
    New,
    /// Read a key from standard input and print its digest.
    Digest,
}

/// Arguments of `dump`.
#[derive(Clone, Debug, clap::Args)]
pub struct Dump {
    /// Where the node is.
    #[command(flatten)]
    pub server: Server,

    /// Print JSON in place of YAML.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `lookup`.
#[derive(Clone, Debug, clap::Args)]
pub struct Lookup {
    /// A node's face for callers.
    #[arg(long, short, value_name = "IP:PORT")]
    pub node: net::SocketAddr,

    /// The service.
    pub service: String,
}

/// Arguments of `release`.
#[derive(Clone, Debug, clap::Args)]
pub struct Release {
    /// Any gateway's address for peers; it tells the others.
    #[arg(long, short, value_name = "IP:PORT")]
    pub gateway: net::SocketAddr,

    /// The requests, as the logs and the state of gateways name them.
    #[arg(value_parser = parse_scope)]
    pub fingerprint: fingerprint::Scope,
}

fn parse_scope(text: &str) -> Result<fingerprint::Scope, &'static str> {
    fingerprint::Scope::parse(text)
        .ok_or("expected 32 hex digits, a dash, and 16 hex digits or `any`")
}

/// Arguments of `load`.
#[derive(Clone, Debug, clap::Args)]
pub struct Load {
    /// Nodes' faces for callers; requests go to them in turn.
    #[arg(long, short, value_name = "IP:PORT", required = true, value_delimiter = ',')]
    pub node: Vec<net::SocketAddr>,

    /// The service's host.
    #[arg(long, value_name = "NAME")]
    pub host: String,

    /// The path.
    #[arg(long, default_value = "/")]
    pub path: String,

    /// Requests a second, at fixed times whatever the answers take.
    #[arg(long, short, default_value_t = 100.0)]
    pub rate: f64,

    /// Seconds to send for.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,

    /// Addresses of this machine to send from, for places.
    #[arg(long, value_name = "IP", value_delimiter = ',')]
    pub from: Vec<net::IpAddr>,

    /// Print one JSON object.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `demo`.
#[derive(Clone, Debug, clap::Args)]
pub struct Demo {
    /// The deployment to start.
    #[arg(long, value_enum, default_value_t = Example::Diagne)]
    pub example: Example,

    /// Seconds that the phases take together.
    #[arg(long, default_value_t = 15)]
    pub seconds: u64,

    /// Seed of the load's random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Print one JSON object.
    #[arg(long)]
    pub json: bool,

    /// Start the example, print where it is as YAML, and keep it up until Ctrl-C.
    #[arg(long, conflicts_with = "platform")]
    pub hold: bool,

    /// Run gateways against stand-ins of the users' platform instead; the example does not matter.
    #[arg(long)]
    pub platform: bool,
}

/// A deployment that the demo can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Example {
    /// The lost-and-found registry.
    Diagne,
    /// The conference bridge.
    Taf,
}

fn parse_kind(text: &str) -> Result<resource::Kind, String> {
    let words = resource::Kind::ALL.map(resource::Kind::plural).join(", ");
    resource::Kind::parse(text).ok_or_else(|| format!("expected one of {words}"))
}
