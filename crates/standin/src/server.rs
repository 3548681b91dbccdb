//! Serving a router on an address until told to stop.

use std::io;
use std::net;

use axum::Router;
use axum::serve::ListenerExt as _;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: net::SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Listens on `address` and serves `router`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(address: net::SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let listener = listener.tap_io(|stream| {
            let _ = stream.set_nodelay(true);
        });
        let (stop, mut stopped) = watch::channel(false);
        let ended = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        let service = router.into_make_service();
        tokio::spawn(async move {
            let _ = axum::serve(listener, service).with_graceful_shutdown(ended).await;
        });
        Ok(Self { address, stop })
    }

    /// Stops accepting; requests that run are finished.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}
