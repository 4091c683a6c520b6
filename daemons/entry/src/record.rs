//! Writes down what routers take in and choose, for `sill replay`.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::json;
use sill_base::{Machine, Millis, event};
use sill_route::{Choice, Event, PoolView, RouteRequest, Router, RouterCfg};

/// What a router takes in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterInput {
    /// It heard something.
    Hear(Event),
    /// It was asked for an endpoint.
    Ask(RouteRequest),
}

/// A router whose inputs and choices are written to a file, where one was named.
#[derive(Debug)]
pub struct RecordedRouter {
    router: Router,
    file: Option<File>,
}

impl RecordedRouter {
    /// Makes a router that knows no endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn new(cfg: RouterCfg, file: Option<&Path>) -> io::Result<Self> {
        let mut file = file.map(File::create).transpose()?;
        if let Some(file) = &mut file {
            let header = json!({ "core": "router", "domain": cfg.domain, "seed": cfg.seed });
            writeln!(file, "{header}")?;
        }
        Ok(Self { router: Router::new(cfg), file })
    }

    /// Takes in what was heard.
    pub fn step(&mut self, now: Millis, event: Event) {
        if self.file.is_none() {
            return self.router.step(now, event, &mut Vec::new());
        }
        let input = RouterInput::Hear(event.clone());
        self.write(&json!({ "at": now, "event": input }));
        self.router.step(now, event, &mut Vec::new());
    }

    /// Chooses an endpoint for a request.
    pub fn choose(&mut self, now: Millis, req: &RouteRequest) -> Choice {
        let choice = self.router.choose(now, req);
        if self.file.is_some() {
            let input = RouterInput::Ask(req.clone());
            self.write(&json!({ "at": now, "event": input }));
            self.write(&json!({ "expect": [choice] }));
        }
        choice
    }

    /// Returns what is believed of the endpoints that serve a request's target.
    pub fn view(&self, now: Millis, req: &RouteRequest) -> PoolView {
        self.router.view(now, req)
    }

    /// Each line is written at once, so that the last one before a crash is there. A full disk ends
    /// the record and not the serving.
    fn write(&mut self, line: &serde_json::Value) {
        let Some(file) = &mut self.file else {
            return;
        };
        // In one piece, so that a reader never sees half a line of a running record.
        if let Err(err) = file.write_all(format!("{line}\n").as_bytes()) {
            event!(Warn, "record_ended", error = err);
            self.file = None;
        }
    }
}
