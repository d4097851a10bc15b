//! Stand-ins of the second review, for the scripts beside the cases. It uses the standard library only.
//!
//! `standin CASE RECORD FOLDER` plays a case; `standin engine ADDRESS ID RECORD` is an engine. The exit code of a case is
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod engine;
mod http;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match words[..] {
        ["engine", address, id, record] => {
            let address = address.parse().expect("an address");
            let error = engine::run(address, id, record);
            eprintln!("engine {id}: {error:?}");
            ExitCode::from(2)
        }
        [case, record, folder] => match cases::play(case, record, folder, trouble) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(error) => {
                eprintln!("the case could not run: {error}");
                ExitCode::from(2)
            }
        },
        _ => ExitCode::from(2),
    }
}
