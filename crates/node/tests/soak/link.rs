//! Links: loopback proxies that delay, reset, cut or silence the connections that go through them.

use std::io;
use std::net;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const PIECE: usize = 16 * 1_024;

/// What a link does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It passes everything on.
    Open,
    /// It passes everything on after this time.
    Delayed(Duration),
    /// It resets connections.
    Reset,
    /// It holds back what goes toward the target.
    CutForward,
    /// It holds back what comes from the target.
    CutBackward,
    /// It holds back everything.
    Silent,
    /// It holds back everything on the connections that are open now, for good; new ones work.
    SilentForGood,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        let is_forward = way == Way::Forward;
        match self {
            Self::Silent => true,
            Self::CutForward => is_forward,
            Self::CutBackward => !is_forward,
            Self::Open | Self::Delayed(_) | Self::Reset | Self::SilentForGood => false,
        }
    }
}

/// A direction through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Forward,
    Backward,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Link {
    /// Where it listens.
    pub address: net::SocketAddr,
    mode: watch::Sender<Mode>,
    /// Grows each time the open connections fall silent for good.
    silenced: watch::Sender<u64>,
    task: tokio::task::JoinHandle<()>,
}

impl Link {
    /// Starts a link to `target`.
    pub async fn start(target: net::SocketAddr) -> Self {
        let (_, is_down) = watch::channel(false);
        Self::start_before(target, is_down).await
    }

    /// Starts a link to `target` that refuses connections while `is_down`, and ends those that are open then.
    pub async fn start_before(target: net::SocketAddr, is_down: watch::Receiver<bool>) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (mode, modes) = watch::channel(Mode::Open);
        let (silenced, silences) = watch::channel(0);
        let task = tokio::spawn(listen(listener, target, modes, silences, is_down));
        Self { address, mode, silenced, task }
    }

    /// Treats connections in this way from now on.
    pub fn set(&self, mode: Mode) {
        if mode == Mode::SilentForGood {
            self.silenced.send_modify(|times| *times += 1);
        }
        self.mode.send_replace(mode);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn listen(
    mut listener: TcpListener,
    target: net::SocketAddr,
    modes: watch::Receiver<Mode>,
    silences: watch::Receiver<u64>,
    mut is_down: watch::Receiver<bool>,
) {
    let address = listener.local_addr().expect("it listens");
    loop {
        let accepting = accept(listener, target, modes.clone(), silences.clone());
        tokio::select! {
            () = accepting => return,
            // Never when nobody can say so any more.
            () = until(&mut is_down, true) => {}
        }
        until(&mut is_down, false).await;
        let Ok(again) = TcpListener::bind(address).await else { return };
        listener = again;
    }
}

/// Waits until a value is `wanted`; for good when it can no longer change.
async fn until(value: &mut watch::Receiver<bool>, wanted: bool) {
    if value.wait_for(|value| *value == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn accept(
    listener: TcpListener,
    target: net::SocketAddr,
    modes: watch::Receiver<Mode>,
    silences: watch::Receiver<u64>,
) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let (modes, mut silences) = (modes.clone(), silences.clone());
        connections.spawn(async move {
            let opened = *silences.borrow();
            let connection = connect(near, target, modes);
            tokio::pin!(connection);
            tokio::select! {
                _ = &mut connection => return,
                _ = silences.wait_for(|times| *times > opened) => {}
            }
            // Both sockets stay open, and nothing is passed on any more.
            std::future::pending::<()>().await;
        });
    }
}

async fn connect(
    near: TcpStream,
    target: net::SocketAddr,
    modes: watch::Receiver<Mode>,
) -> io::Result<()> {
    if *modes.borrow() == Mode::Reset {
        return reset_on_close(&near);
    }
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pass(near_read, far_write, modes.clone(), Way::Forward);
    let backward = pass(far_read, near_write, modes.clone(), Way::Backward);
    tokio::try_join!(forward, backward).map(|_| ())
}

/// Passes on what comes one way, until an end closes or the link resets.
async fn pass(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    way: Way,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let read = tokio::select! {
            read = from.read(&mut piece) => read?,
            _ = modes.wait_for(|mode| *mode == Mode::Reset) => {
                reset_on_close(from.as_ref())?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        };
        let mode = *modes.borrow();
        if let Mode::Delayed(time) = mode {
            tokio::time::sleep(time).await;
        }
        let passes = |mode: &Mode| !mode.holds(way);
        if modes.wait_for(passes).await.is_err() {
            return Ok(());
        }
        match read {
            0 => return to.shutdown().await,
            read => to.write_all(&piece[..read]).await?,
        }
    }
}

/// Makes the end of a connection a reset.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
