//! `yokespoke load`: open-loop load.
//!
//! Requests are due at fixed times. The time of a request counts from when it was due, so that
//! waiting behind a slow answer is counted and not left out.

use std::io::IsTerminal as _;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use serde_json::json;
use tokio::task::JoinSet;

use crate::args;
use crate::exit;
use crate::printer;
use standin::client as http1;

/// Requests that may be out at once; more are counted as unsent.
const MOST_OUT: usize = 20_000;

/// Time between two lines of progress.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered,
    NotRun,
    MayHaveRun,
    Failed,
}

/// What came of all requests.
#[derive(Debug)]
struct Sum {
    answered: u64,
    not_run: u64,
    may_have_run: u64,
    failed: u64,
    unsent: u64,
    times: Histogram<u64>,
}

/// Sends load and prints what came of it.
///
/// # Errors
///
/// Fails when the arguments make no request.
pub async fn command(args: &args::Load) -> anyhow::Result<exit::Code> {
    anyhow::ensure!(args.rate > 0.0, "--rate: expected more than 0");
    let clients: Vec<http1::Client> = match args.from.is_empty() {
        true => vec![http1::Client::new(None)],
        false => args.from.iter().map(|from| http1::Client::new(Some(*from))).collect(),
    };
    let sum = send_all(args, &clients).await?;
    match args.json {
        true => printer::line(&as_json(&sum).to_string()),
        false => printer::line(&as_table(&sum)),
    }
    Ok(exit::Code::Done)
}

async fn send_all(args: &args::Load, clients: &[http1::Client]) -> anyhow::Result<Sum> {
    let mut sum = Sum {
        answered: 0,
        not_run: 0,
        may_have_run: 0,
        failed: 0,
        unsent: 0,
        times: Histogram::new_with_bounds(1, 600_000_000, 3)?,
    };
    let began = Instant::now();
    let length = Duration::from_secs(args.seconds);
    let mut out = JoinSet::new();
    let mut progress = began + PROGRESS_EVERY;
    let target = sync::Arc::new((args.host.clone(), args.path.clone()));
    for number in 0_u32.. {
        let due = began + Duration::from_secs_f64(f64::from(number) / args.rate);
        if due >= began + length {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        while let Some(Ok((end, micros))) = out.try_join_next() {
            count(&mut sum, end, micros);
        }
        if out.len() >= MOST_OUT {
            sum.unsent += 1;
            continue;
        }
        let index = usize::try_from(number)?;
        let client = clients[index % clients.len()].clone();
        let node = args.node[index % args.node.len()];
        let target = sync::Arc::clone(&target);
        out.spawn(async move { send(&client, node, &target.0, &target.1, due).await });
        if Instant::now() >= progress && std::io::stderr().is_terminal() {
            progress += PROGRESS_EVERY;
            printer::note(&format!("{} answered, {} out", sum.answered, out.len()));
        }
    }
    while let Some(joined) = out.join_next().await {
        let (end, micros) = joined?;
        count(&mut sum, end, micros);
    }
    Ok(sum)
}

async fn send(
    client: &http1::Client,
    node: net::SocketAddr,
    host: &str,
    path: &str,
    due: Instant,
) -> (End, u64) {
    let request = Request::get(format!("http://{node}{path}"))
        .header(header::HOST, host)
        .body(Full::new(Bytes::new()));
    let end = match request {
        Err(_) => End::Failed,
        Ok(request) => match client.send(request).await {
            Err(_) => End::Failed,
            Ok(response) => end_of(&response),
        },
    };
    (end, u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX))
}

fn end_of(response: &http::Response<Bytes>) -> End {
    match response.headers().get("yokespoke-verdict").map(http::HeaderValue::as_bytes) {
        None => End::Answered,
        Some(b"not-run") => End::NotRun,
        Some(_) => End::MayHaveRun,
    }
}

fn count(sum: &mut Sum, end: End, micros: u64) {
    match end {
        End::Answered => {
            sum.answered += 1;
            sum.times.saturating_record(micros.max(1));
        }
        End::NotRun => sum.not_run += 1,
        End::MayHaveRun => sum.may_have_run += 1,
        End::Failed => sum.failed += 1,
    }
}

fn as_json(sum: &Sum) -> serde_json::Value {
    json!({
        "answered": sum.answered,
        "not_run": sum.not_run,
        "may_have_run": sum.may_have_run,
        "failed": sum.failed,
        "unsent": sum.unsent,
        "p50_us": sum.times.value_at_quantile(0.5),
        "p99_us": sum.times.value_at_quantile(0.99),
        "p999_us": sum.times.value_at_quantile(0.999),
        "max_us": sum.times.max(),
    })
}

fn as_table(sum: &Sum) -> String {
    let millis = |quantile: f64| {
        let micros = sum.times.value_at_quantile(quantile);
        format!("{:.2}", Duration::from_micros(micros).as_secs_f64() * 1_000.0)
    };
    let header =
        ["answered", "not run", "may have run", "failed", "unsent", "p50 ms", "p99 ms", "p999 ms"];
    let row = vec![
        sum.answered.to_string(),
        sum.not_run.to_string(),
        sum.may_have_run.to_string(),
        sum.failed.to_string(),
        sum.unsent.to_string(),
        millis(0.5),
        millis(0.99),
        millis(0.999),
    ];
    printer::table(&header, &[row])
}
