//! The stand-ins of the review's cases: clients, backends and discovery in one process, which starts
//! the proxies under test as processes of their own and judges what all of them saw.
//!
//! Usage: `review-standins CASE RECORD`. The environment gives the command that starts a proxy in
//! `RUN`, and `TROUBLE=0` leaves the disruption out. Exits with 0 if the rule held, 1 if it was
//! broken and 2 if the case could not run.

mod backend;
mod client;
mod deployment;
mod discovery;
mod drain;
mod http;
mod proxy;
mod record;
mod return_of_discovery;
mod spoilt_length;
mod stored_list;

use record::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    let verdict = match case.as_str() {
        "spoilt-length" => spoilt_length::run(&record, has_trouble),
        "return-of-discovery" => return_of_discovery::run(&record, has_trouble),
        "stored-list" => stored_list::run(&record, has_trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken(what) => (format!("the rule was broken: {what}"), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.result(text);
    std::process::exit(code);
}
