//! Scripts of the second review: `review_stand_in_2 CASE FOLDER`, started in the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod host;
mod http;
mod json;
mod minion;
mod record;
mod site;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review_stand_in_2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let run: fn(&Path, bool) -> bool = match case.as_str() {
        "entries-that-expire" => cases::entries_that_expire,
        "late-start-at-the-next-process" => cases::late_start_at_the_next_process,
        "stops-unanswered" => cases::stops_unanswered,
        "answer-of-another-job" => cases::answer_of_another_job,
        "limit-at-a-planned-stop" => cases::limit_at_a_planned_stop,
        other => {
            eprintln!("no case {other}");
            return ExitCode::from(2);
        }
    };
    // A panic of the stand-ins shows nothing about the rule. It ends the hosts as it unwinds.
    match std::panic::catch_unwind(|| run(&folder, has_trouble)) {
        Ok(is_broken) => ExitCode::from(u8::from(is_broken)),
        Err(_) => ExitCode::from(2),
    }
}
