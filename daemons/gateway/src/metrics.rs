//! Prometheus metrics of an entry instance.

use eyre::Result;
use prometheus::{
    CounterVec, Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, exponential_buckets,
};

use crate::cut::CutCause;

/// The metrics of an entry instance for routes. Clones share the figures.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Number of calls by outcome.
    pub calls: IntCounterVec,
    /// Number of calls whose callers got neither a whole answer nor an error response, by cause.
    pub incomplete_answers: IntCounterVec,
    /// Number of failed attempts by outcome.
    pub attempts: IntCounterVec,
    /// Requests that endpoints rejected because they were full, by service.
    pub rejections: IntCounterVec,
    /// Endpoints that were first heard to leave by an answer, by service.
    pub leaving_answers: IntCounterVec,
    /// Pauses that endpoints asked for, by service.
    pub pauses: IntCounterVec,
    /// Requests sent to endpoints of any version where roll-outs are enabled, by service.
    pub sent: IntCounterVec,
    /// Those sent to endpoints of a version that is being rolled out.
    pub sent_to_candidate: IntCounterVec,
    /// Units admitted under limits, by the reason for admission.
    pub admitted_units: CounterVec,
    /// Connections opened to endpoints, by service.
    pub connects: IntCounterVec,
    /// Number of endpoints that have reported a pace, by service.
    pub paced_endpoints: IntGaugeVec,
    /// Lowest, median and highest time that work is presumed to take at these endpoints, relative to
    /// the usual time, by service.
    pub time_factor: GaugeVec,
    /// Seconds from the head of a call to the first part of its answer.
    pub first_part: Histogram,
    /// Seconds from the head of a call to the end of its answer.
    pub whole_answer: Histogram,
    /// Seconds from the head of a call until it is first sent to an endpoint.
    pub before_send: Histogram,
    /// The revision of the settings in force; 0 before the first.
    pub revision: IntGauge,
    /// Seconds from when a control instance cut a revision into pieces until it is in force here.
    pub settings_age: Histogram,
    /// Number of control instances that answer this instance's polls.
    pub followed_controls: IntGauge,
    /// Seconds from when a ready endpoint announced its departure, or ended, until it is known
    /// here.
    pub departure_age: Histogram,
    /// Number of open connections of callers.
    pub caller_connections: IntGauge,
    /// Number of idle connections to endpoints.
    pub idle_connections: IntGauge,
    /// Number of endpoints that crashed while they ran calls of this instance.
    pub endpoint_crashes: IntCounter,
    /// Checks whether an endpoint has ended, by result.
    pub endpoint_checks: IntCounterVec,
    /// Answers that ended without a mark, by what the end turned out to be.
    pub unmarked_ends: IntCounterVec,
    /// Streams that count as whole, by what shows it.
    pub whole_streams: IntCounterVec,
    /// Incomplete events that could not be held back any longer, by reason and by what became of
    /// their streams.
    pub ended_holds: IntCounterVec,
    /// Number of requests that are blocked because endpoints crashed under them.
    pub blocked_requests: IntGauge,
    /// Number of blocks of parts of prompts under which endpoints crashed.
    pub blocked_parts: IntGauge,
    /// Calls that take up an earlier stream, by what is known of its version.
    pub take_ups: IntCounterVec,
    /// Records of streams sent to other entry instances, by result.
    pub streams_replicated: IntCounterVec,
    /// Records of streams that were new here.
    pub streams_received: IntCounter,
    /// Number of streams whose versions are known.
    pub streams_known: IntGauge,
    /// Number of endpoints that only other entry instances reach.
    pub lost_paths: IntGauge,
    /// 1 while no endpoint is reached on own connections.
    pub cut_off: IntGauge,
    /// Tunnels asked for at other entry instances, by result.
    pub tunnels: IntCounterVec,
    /// Requests in tunnels, by whether they were answered.
    pub tunnel_answers: IntCounterVec,
    /// Tunnels of other entry instances that are open here.
    pub carried_tunnels: IntGauge,
    /// Tunnels of other entry instances by whether they were granted.
    pub tunnel_requests: IntCounterVec,
    /// Number of calls that wait for capacity.
    pub waiting_calls: IntGauge,
    /// Seconds that calls waited for capacity before they were sent.
    pub waited: Histogram,
    /// Calls refused by wait queues, by reason.
    pub queue_refusals: IntCounterVec,
    /// Seconds after which callers refused by wait queues were told to return.
    pub retry_after: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let admitted_units = CounterVec::new(
            Opts::new("sill_gateway_admitted_total", "units that limits let in, by the reason"),
            &["by"],
        )?;
        registry.register(Box::new(admitted_units.clone()))?;
        let paced_endpoints = IntGaugeVec::new(
            Opts::new("sill_gateway_paced_endpoints", "endpoints that have reported a pace"),
            &["service"],
        )?;
        registry.register(Box::new(paced_endpoints.clone()))?;
        let time_factor = GaugeVec::new(
            Opts::new("sill_gateway_time_factor", "presumed time of work relative to the usual"),
            &["service", "of"],
        )?;
        registry.register(Box::new(time_factor.clone()))?;
        let histogram = |name: &str, help: &str| -> Result<Histogram> {
            let buckets = exponential_buckets(0.001, 2.0, 15)?;
            let histogram = Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let ended_holds = IntCounterVec::new(
            Opts::new(
                "sill_gateway_ended_holds_total",
                "incomplete events that could not be held back any longer",
            ),
            &["why", "next"],
        )?;
        registry.register(Box::new(ended_holds.clone()))?;
        let incomplete_answers = counters(
            "sill_gateway_incomplete_answers_total",
            "calls with neither a whole answer nor an error response, by cause",
            "cause",
        )?;
        for cause in CutCause::ALL {
            incomplete_answers.with_label_values(&[cause.name()]);
        }
        let endpoint_crashes = IntCounter::new(
            "sill_gateway_endpoint_crashes_total",
            "endpoints that crashed while they ran calls",
        )?;
        registry.register(Box::new(endpoint_crashes.clone()))?;
        let streams_received = IntCounter::new(
            "sill_gateway_streams_received_total",
            "records of streams received from other entry instances",
        )?;
        registry.register(Box::new(streams_received.clone()))?;
        Ok(Self {
            calls: counters("sill_gateway_calls_total", "calls by outcome", "outcome")?,
            incomplete_answers,
            attempts: counters("sill_gateway_attempts_total", "attempts by outcome", "outcome")?,
            rejections: counters(
                "sill_gateway_rejections_total",
                "requests rejected by full endpoints",
                "service",
            )?,
            leaving_answers: counters(
                "sill_gateway_leaving_answers_total",
                "endpoints that were first heard to leave by an answer",
                "service",
            )?,
            pauses: counters(
                "sill_gateway_pauses_total",
                "pauses that endpoints asked for with a rejection",
                "service",
            )?,
            sent: counters(
                "sill_gateway_sent_total",
                "requests sent to endpoints, where roll-outs are enabled",
                "service",
            )?,
            sent_to_candidate: counters(
                "sill_gateway_sent_to_candidate_total",
                "requests sent to endpoints of a version that is being rolled out",
                "service",
            )?,
            admitted_units,
            connects: counters("sill_gateway_connects_total", "connections opened", "service")?,
            paced_endpoints,
            time_factor,
            first_part: histogram("sill_gateway_first_part_seconds", "time to the first part")?,
            whole_answer: histogram("sill_gateway_answer_seconds", "time to the whole answer")?,
            before_send: histogram(
                "sill_gateway_before_send_seconds",
                "time before the first send",
            )?,
            revision: gauge("sill_gateway_revision", "revision of the settings in force")?,
            settings_age: histogram(
                "sill_gateway_settings_age_seconds",
                "time from a revision's cut at control until it is in force",
            )?,
            followed_controls: gauge(
                "sill_gateway_control_followed",
                "control instances that answer polls",
            )?,
            departure_age: histogram(
                "sill_gateway_departure_age_seconds",
                "time from the departure of an endpoint until it is known here",
            )?,
            caller_connections: gauge(
                "sill_gateway_caller_connections",
                "open connections of callers",
            )?,
            idle_connections: gauge(
                "sill_gateway_idle_connections",
                "unused connections to endpoints",
            )?,
            endpoint_crashes,
            endpoint_checks: counters(
                "sill_gateway_endpoint_checks_total",
                "checks whether an endpoint has ended, by result",
                "result",
            )?,
            ended_holds,
            unmarked_ends: counters(
                "sill_gateway_unmarked_ends_total",
                "answers that ended without a mark, by what the end turned out to be",
                "result",
            )?,
            whole_streams: counters(
                "sill_gateway_whole_streams_total",
                "streams that count as whole, by what shows it",
                "proof",
            )?,
            take_ups: counters(
                "sill_gateway_take_ups_total",
                "calls that take up an earlier stream, by what is known of its version",
                "result",
            )?,
            streams_replicated: counters(
                "sill_gateway_streams_replicated_total",
                "records of streams sent to other entry instances",
                "result",
            )?,
            streams_received,
            streams_known: gauge(
                "sill_gateway_streams_known",
                "streams whose software version is known",
            )?,
            lost_paths: gauge(
                "sill_gateway_lost_paths",
                "endpoints that only other entry instances reach",
            )?,
            cut_off: gauge(
                "sill_gateway_cut_off",
                "1 while no endpoint is reached on own connections",
            )?,
            tunnels: counters("sill_gateway_tunnels_total", "tunnels asked for", "result")?,
            tunnel_answers: counters(
                "sill_gateway_tunnel_answers_total",
                "requests sent in tunnels",
                "result",
            )?,
            carried_tunnels: gauge(
                "sill_gateway_carried_tunnels",
                "open tunnels of other entry instances",
            )?,
            tunnel_requests: counters(
                "sill_gateway_tunnel_requests_total",
                "tunnels asked for by other entry instances",
                "answer",
            )?,
            waiting_calls: gauge("sill_gateway_waiting_calls", "calls that wait for capacity")?,
            waited: histogram(
                "sill_gateway_waited_seconds",
                "time that calls waited for capacity before they were sent",
            )?,
            queue_refusals: counters(
                "sill_gateway_queue_refusals_total",
                "calls refused by wait queues, by reason",
                "reason",
            )?,
            retry_after: histogram(
                "sill_gateway_retry_after_seconds",
                "time after which callers refused by wait queues were told to return",
            )?,
            blocked_requests: gauge(
                "sill_gateway_blocked_requests",
                "requests that are blocked because endpoints crashed under them",
            )?,
            blocked_parts: gauge(
                "sill_gateway_blocked_parts",
                "parts of prompts that are blocked because endpoints crashed under them",
            )?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when they can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
