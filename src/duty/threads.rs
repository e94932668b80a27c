//! Threads of a daemon's duties: one for each, or one for all.

use std::io;
use std::pin::Pin;
use std::thread::{Builder, JoinHandle};

use tokio::runtime::Runtime;
use tokio::task::{LocalSet, spawn_local};

/// Creates a duty's future on the duty's thread, so that the future need not be `Send`.
pub(crate) type DutyFactory = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = ()>>> + Send>;

/// Boxes a function that creates a duty's future.
pub(crate) fn duty_factory<F, Fut>(make: F) -> DutyFactory
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    Box::new(move || Box::pin(make()))
}

/// Starts all duties; returns the thread of the last one, which ends with that duty.
///
/// With `one_thread` all duties share one thread. That is faster on a fraction of a core,
/// where each message between threads costs a wake-up that adds to the call's latency.
///
/// # Errors
///
/// Returns an error if there are no duties, or if a thread or its runtime can't be created.
pub(crate) fn spawn_duties(
    mut duties: Vec<(&str, DutyFactory)>,
    one_thread: bool,
) -> io::Result<JoinHandle<()>> {
    let (name, last) = duties.pop().ok_or_else(|| io::Error::other("no duties"))?;
    let mut shared = Vec::new();
    for (name, duty) in duties {
        if one_thread {
            shared.push(duty);
        } else {
            spawn(name, Vec::new(), duty)?;
        }
    }
    spawn(name, shared, last)
}

/// Starts a thread that runs a duty, and `others` on the same runtime; the thread ends with the
/// duty.
fn spawn(name: &str, others: Vec<DutyFactory>, duty: DutyFactory) -> io::Result<JoinHandle<()>> {
    let runtime: Runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Builder::new().name(name.to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            for other in others {
                spawn_local(other());
            }
            duty().await;
        });
    })
}
