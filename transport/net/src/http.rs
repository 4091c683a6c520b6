//! Helpers for the ntex HTTP servers of the programs: threads, listeners and error responses.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use ntex::rt::{DefaultRuntime, System};
use ntex::web::HttpResponse;
use serde::Serialize;
use sill_base::{Findings, Name};
use sill_wire::{ErrorBody, ErrorCode, ErrorDetail, header};
use socket2::{Domain, Protocol, Socket, Type};

/// Number of connections that may wait to be accepted.
const BACKLOG: i32 = 4096;

/// Runs a future in an ntex system on a new thread.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn spawn_system<F, Fut>(name: &str, main: F) -> io::Result<JoinHandle<io::Result<()>>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = io::Result<()>> + 'static,
{
    let system_name = name.to_owned();
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        System::build()
            .name(system_name)
            .build(DefaultRuntime)
            .block_on(async move { main().await })
    })
}

/// Binds a listener; port 0 selects a free port.
///
/// # Errors
///
/// Fails if the address is in use or not local.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address).map_err(|err| io::Error::new(err.kind(), format!("{address}: {err}")))
}

/// Listens with a longer accept queue than the standard library's 128 connections. That one
/// overflows when a load balancer, or the callers of a lost entry instance, connect all at once;
/// the connections beyond it wait for seconds or fail.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// An error response before it is sent.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The error code, for programs.
    pub code: ErrorCode,
    /// The error text, for people.
    pub message: String,
    /// All findings about an invalid request.
    pub findings: Findings,
    /// Whether it is certain that no byte of the request was sent to an endpoint.
    pub not_run: bool,
    /// Seconds after which the caller may retry.
    pub retry_after: Option<u32>,
}

impl Failure {
    /// Creates a failure that does not state whether the request was run.
    pub fn new<M>(code: ErrorCode, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            code,
            message: message.into(),
            findings: Findings::new(),
            not_run: false,
            retry_after: None,
        }
    }

    /// Converts the failure to the response for the request with this id.
    pub fn response(self, request_id: &Name) -> HttpResponse {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code,
                message: self.message,
                request_id: request_id.clone(),
                not_run: self.not_run,
                findings: self.findings.iter().cloned().collect(),
            },
        };
        let mut res = HttpResponse::build(status(self.code.status()));
        res.set_header(header::REQUEST_ID, request_id.as_str());
        if self.not_run {
            res.set_header(header::NOT_RUN, "true");
        }
        if let Some(secs) = self.retry_after {
            res.set_header(header::RETRY_AFTER, secs.to_string());
        }
        res.json(&body)
    }
}

/// Returns a JSON response with a status code.
pub fn json<T>(code: u16, value: &T) -> HttpResponse
where
    T: Serialize,
{
    HttpResponse::build(status(code)).json(value)
}

fn status(code: u16) -> ntex::http::StatusCode {
    ntex::http::StatusCode::from_u16(code).unwrap_or(ntex::http::StatusCode::INTERNAL_SERVER_ERROR)
}
