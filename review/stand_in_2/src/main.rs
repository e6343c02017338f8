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

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review_stand_in_2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let is_broken = match case.as_str() {
        "limit-at-a-planned-stop" => cases::limit_at_a_planned_stop(&folder, has_trouble),
        "stops-unanswered" => cases::stops_unanswered(&folder, has_trouble),
        "answer-of-another-job" => cases::answer_of_another_job(&folder, has_trouble),
        "entry-lost-after-a-handover" => cases::entry_lost_after_a_handover(&folder, has_trouble),
        "late-start-at-the-next-process" => {
            cases::late_start_at_the_next_process(&folder, has_trouble)
        }
        other => {
            eprintln!("no case {other}");
            return ExitCode::from(2);
        }
    };
    ExitCode::from(u8::from(is_broken))
}
