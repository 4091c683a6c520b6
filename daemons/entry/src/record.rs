//! Records the inputs and choices of routers, for `sill replay`.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::json;
use sill_base::{Machine, Millis, event};
use sill_route::{Choice, Event, PoolView, RouteRequest, Router, RouterCfg};

/// Input of a router, as it is written to a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterInput {
    /// An event about endpoints was applied.
    Hear(Event),
    /// An endpoint was requested.
    Ask(RouteRequest),
}

/// A router whose inputs and choices are written to a file, if one is configured.
#[derive(Debug)]
pub struct RecordedRouter {
    router: Router,
    file: Option<File>,
}

impl RecordedRouter {
    /// Creates a router without endpoints, and the record file if `file` is given.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be created or its header cannot be written.
    pub fn new(cfg: RouterCfg, file: Option<&Path>) -> io::Result<Self> {
        let mut file = file.map(File::create).transpose()?;
        if let Some(file) = &mut file {
            let header = json!({ "core": "router", "domain": cfg.domain, "seed": cfg.seed });
            writeln!(file, "{header}")?;
        }
        Ok(Self { router: Router::new(cfg), file })
    }

    /// Records an event and applies it.
    pub fn step(&mut self, now: Millis, event: Event) {
        if self.file.is_none() {
            return self.router.step(now, event, &mut Vec::new());
        }
        let input = RouterInput::Hear(event.clone());
        self.write(&json!({ "at": now, "event": input }));
        self.router.step(now, event, &mut Vec::new());
    }

    /// Chooses an endpoint for a request and records the choice.
    pub fn choose(&mut self, now: Millis, req: &RouteRequest) -> Choice {
        let choice = self.router.choose(now, req);
        if self.file.is_some() {
            let input = RouterInput::Ask(req.clone());
            self.write(&json!({ "at": now, "event": input }));
            self.write(&json!({ "expect": [choice] }));
        }
        choice
    }

    /// Returns the current state of the endpoints that serve a request's target.
    pub fn view(&self, now: Millis, req: &RouteRequest) -> PoolView {
        self.router.view(now, req)
    }

    /// Writes one line to the record, unbuffered, so that the file has the last line before a crash.
    /// If the disk is full, the record ends and requests are still served.
    fn write(&mut self, line: &serde_json::Value) {
        let Some(file) = &mut self.file else {
            return;
        };
        // One write per line, so that a reader of a growing record never sees a partial line.
        if let Err(err) = file.write_all(format!("{line}\n").as_bytes()) {
            event!(Warn, "record_ended", error = err);
            self.file = None;
        }
    }
}
