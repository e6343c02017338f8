use crate::record::Record;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(112);

/// How a case has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Plays a case that writes its record to the path given as the first argument. Whatever the case
/// started is ended before the return.
pub fn play<F, C>(case: C) -> ExitCode
where
    C: FnOnce(Record) -> F,
    F: Future<Output = Verdict>,
{
    let path = std::env::args().nth(1).expect("the path of the record is the first argument");
    let record = Record::create(&PathBuf::from(path));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the runtime can be built");
    let verdict = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened for");
        let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be listened for");
        tokio::select! {
            verdict = timeout(MAX_TIME, case(record.clone())) => {
                verdict.unwrap_or(Verdict::CouldNotRun)
            }
            _ = terminate.recv() => Verdict::CouldNotRun,
            _ = interrupt.recv() => Verdict::CouldNotRun,
        }
    });
    record.say(format!("verdict: {verdict:?}"));
    runtime.shutdown_background();
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
