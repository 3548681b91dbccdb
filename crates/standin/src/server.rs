//! Serving a router on an address until it is stopped, to a limited number of connections.
//!
//! It owns the socket and the limit of its connections; it relies on no other module.

use std::io;
use std::net;
use std::pin::Pin;
use std::sync;
use std::sync::atomic;
use std::task::{Context, Poll};

use axum::Router;
use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: net::SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Listens on `address` and serves `router`; port 0 takes a free one. Connections beyond `most`
    /// are closed at once and counted in `refused`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(
        address: net::SocketAddr,
        router: Router,
        most: usize,
        refused: sync::Arc<atomic::AtomicU64>,
    ) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address).await?, router, most, refused)
    }

    /// Serves `router` on a listener that is bound already; the rest is as for [`Server::start`].
    ///
    /// # Errors
    ///
    /// Fails when the listener's address cannot be read.
    pub fn serve(
        inner: TcpListener,
        router: Router,
        most: usize,
        refused: sync::Arc<atomic::AtomicU64>,
    ) -> io::Result<Self> {
        let address = inner.local_addr()?;
        let listener = Limited { inner, permits: sync::Arc::new(Semaphore::new(most)), refused };
        let (stop, mut stopped) = watch::channel(false);
        let ended = async move {
            // An error means that the server was dropped, which stops it as well.
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        let service = router.into_make_service();
        tokio::spawn(async move {
            // It never fails: errors of one connection end that connection.
            let _ = axum::serve(listener, service).with_graceful_shutdown(ended).await;
        });
        Ok(Self { address, stop })
    }

    /// Stops accepting; requests that run are finished.
    pub fn stop(&self) {
        // An error means that the server has ended already.
        let _ = self.stop.send(true);
    }
}

/// Connections that a stand-in without a limit of its own accepts; not measured.
pub const MANY: usize = 65_536;

/// A listener that closes connections beyond its permits.
struct Limited {
    inner: TcpListener,
    permits: sync::Arc<Semaphore>,
    refused: sync::Arc<atomic::AtomicU64>,
}

impl Listener for Limited {
    type Io = Connection;
    type Addr = net::SocketAddr;

    async fn accept(&mut self) -> (Connection, net::SocketAddr) {
        loop {
            let (stream, peer) = Listener::accept(&mut self.inner).await;
            // Without it answers are only slower.
            let _ = stream.set_nodelay(true);
            match sync::Arc::clone(&self.permits).try_acquire_owned() {
                Ok(permit) => return (Connection { stream, _permit: permit }, peer),
                Err(_) => {
                    self.refused.fetch_add(1, atomic::Ordering::Relaxed);
                }
            }
        }
    }

    fn local_addr(&self) -> io::Result<net::SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection that counts until it is closed.
struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
