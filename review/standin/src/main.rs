//! Stand-ins for the cases of the review: `review-standin CASE FOLDER`. The variable TROUBLE=0 leaves
//! the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod clients;
mod crash;
mod endless;
mod http;
mod release;
mod servers;
mod stop;
mod unframed;
mod world;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-standin CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = world::Record::new(&PathBuf::from(folder).join("record.txt"));
    let code = match case.as_str() {
        "endless" => endless::run(record, has_trouble),
        "unframed" => unframed::run(record, has_trouble),
        "release" => release::run(record, has_trouble),
        "stop" => stop::run(record, has_trouble),
        "crash" => crash::run(record, has_trouble),
        _ => {
            eprintln!("no case {case}");
            2
        }
    };
    std::process::exit(code);
}
