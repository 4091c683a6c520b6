//! HTTP servers of our processes.

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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;

/// Runs an ntex system with one future on a thread of its own.
///
/// # Errors
///
/// Fails when the thread can't be started.
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

/// Binds a listener; port 0 takes a free port.
///
/// # Errors
///
/// Fails when the address is taken or not ours.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address).map_err(|err| io::Error::new(err.kind(), format!("{address}: {err}")))
}

/// The standard library's queue of 128 connections overflows when a balancer, or the callers of a
/// lost entry instance, connect all at once; those beyond it wait for seconds or are given up.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// An error answer before it is sent.
#[derive(Debug, Clone)]
pub struct Failure {
    /// For programs.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// All findings of a bad request.
    pub findings: Findings,
    /// Whether it is certain that no byte of the request has left for an endpoint.
    pub not_run: bool,
    /// Whole seconds after which to come back.
    pub retry_after: Option<u32>,
}

impl Failure {
    /// Makes a failure that says nothing on whether the request was run.
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

    /// Makes the answer.
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

/// Makes a JSON answer with a status code.
pub fn json<T>(code: u16, value: &T) -> HttpResponse
where
    T: Serialize,
{
    HttpResponse::build(status(code)).json(value)
}

fn status(code: u16) -> ntex::http::StatusCode {
    ntex::http::StatusCode::from_u16(code).unwrap_or(ntex::http::StatusCode::INTERNAL_SERVER_ERROR)
}
