//! Tests of the whole system: `sill` processes on loopback, with stand-ins as endpoints.

mod bad_input;
mod brittle;
mod control;
mod control_cluster;
mod crashes;
mod cut_domains;
mod cut_off;
mod cuts;
mod end_to_end;
mod flight;
mod harness;
mod limits;
mod links;
mod member;
mod moved_routes;
mod planned_work;
mod product;
mod proof_of_end;
mod refused_uploads;
mod release_cuts;
mod restarts;
mod serving;
mod signals;
mod silent_stops;
mod verbs;
mod versions;
