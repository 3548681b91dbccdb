//! A server that answers each request with bytes as a test gives them, right or broken.
//!
//! It owns its connections and counts its requests; a closure of the test chooses the answers. It
//! stands in for any program that answers over HTTP/1.1: an upstream, a node, a store, a VM list.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::AsyncWriteExt as _;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// A request, as far as an answer depends on it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The lines of the head, without their ends.
    pub head: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// Returns the target.
    #[must_use]
    pub fn target(&self) -> &str {
        self.word(1)
    }

    /// Returns the value of a header field, empty if there is none.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        let fields = self.head.iter().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim()).unwrap_or_default()
    }

    fn word(&self, index: usize) -> &str {
        let line = self.head.first().map(String::as_str).unwrap_or_default();
        line.split(' ').nth(index).unwrap_or_default()
    }
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is closed.
    Close,
    /// It stays open for the next request.
    Open,
    /// More bytes follow, until the caller closes it.
    Endless,
}

/// Bytes that an endless answer writes at once.
const PIECE_BYTES: usize = 64 * 1_024;

/// The bytes of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The bytes, written at once.
    pub bytes: Vec<u8>,
    /// What follows them.
    pub end: End,
}

type Choice = dyn Fn(&Request) -> Answer + Send + Sync;

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: net::SocketAddr,
    counts: sync::Arc<Counts>,
    task: task::JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    connections: atomic::AtomicUsize,
    requests: atomic::AtomicUsize,
}

impl Server {
    /// Starts a server that answers each request as `choose` says.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(
        ip: net::Ipv4Addr,
        choose: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let counts = sync::Arc::<Counts>::default();
        let choose: sync::Arc<Choice> = sync::Arc::new(choose);
        let task = task::spawn(accept(listener, sync::Arc::clone(&counts), choose));
        Ok(Self { address, counts, task })
    }

    /// Returns the number of connections so far.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.counts.connections.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of requests so far.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.counts.requests.load(atomic::Ordering::SeqCst)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, counts: sync::Arc<Counts>, choose: sync::Arc<Choice>) {
    let mut connections = task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        counts.connections.fetch_add(1, atomic::Ordering::SeqCst);
        let (counts, choose) = (sync::Arc::clone(&counts), sync::Arc::clone(&choose));
        // An error ends the connection, as its caller does.
        connections.spawn(async move { serve(stream, &counts, &*choose).await.ok() });
    }
}

async fn serve(stream: TcpStream, counts: &Counts, choose: &Choice) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream).await? {
        counts.requests.fetch_add(1, atomic::Ordering::SeqCst);
        let answer = choose(&request);
        stream.write_all(&answer.bytes).await?;
        match answer.end {
            End::Close => return stream.shutdown().await,
            End::Open => {}
            End::Endless => {
                let piece = vec![b'x'; PIECE_BYTES];
                loop {
                    stream.write_all(&piece).await?;
                }
            }
        }
    }
    Ok(())
}

/// Reads one request; `None` when the connection ended before it.
async fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        match line.trim_end() {
            "" => break,
            line => request.head.push(line.to_owned()),
        }
    }
    let length = request.field("content-length").parse().unwrap_or_default();
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).await?;
    Ok(Some(request))
}
