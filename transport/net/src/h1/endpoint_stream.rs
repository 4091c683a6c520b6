//! A connection to an endpoint, of which a failure to write also shows in what is read.
//!
//! A system call takes the error of a reset connection, and the next read returns 0, like an orderly
//! close. An answer without a length would look complete because its connection was reset while the
//! request was still being written.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use sill_base::Millis;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Time after the last write within which a reset shows that the endpoint has not read it.
const RESET_TIME: Duration = Duration::from_millis(20);

/// What has become of a connection, beside what is read from it.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    is_ended: AtomicBool,
    has_failed: AtomicBool,
    /// Whether the head of the answer to the last request is awaited. An end in it is a failure, so
    /// nothing has to be found out about it.
    awaits_head: AtomicBool,
}

/// A connection to an endpoint.
///
/// Its end is read only once everything is written and the endpoint has not reset the connection;
/// otherwise the read fails. Writes never fail: what the endpoint has sent before is read first.
#[derive(Debug)]
pub(super) struct EndpointStream {
    io: TcpStream,
    state: Arc<StreamState>,
    /// Time without progress after which the rest of a request is given up if the endpoint has ended
    /// its side.
    write_timeout: Duration,
    /// Why nothing more can be written.
    write_error: Option<io::ErrorKind>,
    /// Whether bytes were written since the last flush, and maybe more are to be written.
    is_writing: bool,
    written_at: Option<Instant>,
    /// Wakes the reader of the end once everything is written.
    reader: Option<Waker>,
    /// Runs while the end is not read yet.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether nothing but the end of a line was read after the last line of a head.
    is_line_empty: bool,
}

impl StreamState {
    /// Records that a request is about to be written, and that the head of its answer follows.
    pub fn begin_request(&self) {
        self.awaits_head.store(true, Ordering::Relaxed);
    }

    /// Returns whether nothing more arrives, or nothing more can be written.
    pub fn is_closed(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed) || self.has_failed()
    }

    /// Returns whether the connection broke off while something was written.
    pub fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::Relaxed)
    }
}

impl EndpointStream {
    /// Wraps a connection on which nothing was written yet.
    pub fn new(io: TcpStream, write_timeout: Millis) -> Self {
        Self {
            io,
            state: Arc::default(),
            write_timeout: write_timeout.into(),
            write_error: None,
            is_writing: false,
            written_at: None,
            reader: None,
            timer: None,
            is_line_empty: false,
        }
    }

    /// Returns the state of the connection, which outlives it.
    pub fn state(&self) -> &Arc<StreamState> {
        &self.state
    }

    /// Finds the end of a head: an empty line.
    fn record_read(&mut self, bytes: &[u8]) {
        if !self.state.awaits_head.load(Ordering::Relaxed) {
            return;
        }
        for byte in bytes {
            match byte {
                b'\n' if std::mem::replace(&mut self.is_line_empty, true) => {
                    self.is_line_empty = false;
                    return self.state.awaits_head.store(false, Ordering::Relaxed);
                }
                b'\n' | b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
    }

    fn record_failure(&mut self, kind: io::ErrorKind) -> io::Error {
        self.write_error = Some(kind);
        self.state.has_failed.store(true, Ordering::Relaxed);
        io::Error::new(kind, "the connection broke off before the request was read")
    }

    fn record_write(&mut self, result: io::Result<usize>, len: usize) -> io::Result<usize> {
        match result {
            Ok(written) => {
                self.is_writing = true;
                self.written_at = Some(Instant::now());
                Ok(written)
            }
            Err(err) => {
                self.record_failure(err.kind());
                self.reader.take().into_iter().for_each(Waker::wake);
                Ok(len)
            }
        }
    }

    /// Waits until the end of what the endpoint sends is known to be in order.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.is_ended.store(true, Ordering::Relaxed);
        loop {
            if let Some(kind) = self.write_error {
                return Poll::Ready(Err(self.record_failure(kind)));
            }
            // A reset also shows without a write.
            if let Some(err) = SockRef::from(&self.io).take_error()? {
                return Poll::Ready(Err(self.record_failure(err.kind())));
            }
            if self.state.awaits_head.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            let Some(written_at) = self.written_at else { return Poll::Ready(Ok(())) };
            let wait = if self.is_writing { self.write_timeout } else { RESET_TIME };
            let due = written_at + wait;
            if due <= Instant::now() {
                if self.is_writing {
                    return Poll::Ready(Err(self.record_failure(io::ErrorKind::TimedOut)));
                }
                return Poll::Ready(Ok(()));
            }
            self.reader = Some(cx.waker().clone());
            let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
            if timer.deadline() != due {
                timer.as_mut().reset(due);
            }
            ready!(timer.as_mut().poll(cx));
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return self.poll_end(cx);
        }
        self.record_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(buf.len()));
        }
        self.is_writing = true;
        let result = ready!(Pin::new(&mut self.io).poll_write(cx, buf));
        Poll::Ready(self.record_write(result, buf.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(len));
        }
        self.is_writing = true;
        let result = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs));
        Poll::Ready(self.record_write(result, len))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP stream has no buffer of its own.
        self.is_writing = false;
        self.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
