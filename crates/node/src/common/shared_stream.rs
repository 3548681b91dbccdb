//! A TCP stream that its reader and writer share with a task that looks for unread bytes.
//!
//! The HTTP library owns the stream of a connection, and does not tell whether a request waits in it.

use std::io;
use std::mem;
use std::net;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;

/// Pause after which the end of the sending half is looked for again while bytes before it wait to be read.
const READ_CHECK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// A handle to a TCP stream.
#[derive(Clone, Debug)]
pub struct Stream(sync::Arc<TcpStream>);

impl Stream {
    /// Wraps `stream`.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(sync::Arc::new(stream))
    }

    /// Returns whether bytes of the peer wait in the operating system, also those that the event loop has not
    /// been told of yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        let mut byte = [mem::MaybeUninit::uninit()];
        // Fails if nothing waits, or if the connection has failed.
        matches!(socket2::SockRef::from(&*self.0).peek(&mut byte), Ok(1..))
    }

    /// Waits until the peer has ended its sending half, or the connection has failed.
    pub async fn ended(&self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => time::sleep(READ_CHECK_PERIOD).await,
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// Writes bytes in addition to the owner of the connection, which must have written all of its own before.
    ///
    /// # Errors
    ///
    /// Fails if the connection has failed, or the operating system does not take all bytes.
    pub fn write_aside(&self, bytes: &[u8]) -> io::Result<()> {
        match self.0.try_write(bytes)? {
            written if written == bytes.len() => Ok(()),
            _ => Err(io::Error::from(io::ErrorKind::WriteZero)),
        }
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(net::Shutdown::Write))
    }
}
