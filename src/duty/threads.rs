//! The duties of a daemon: a thread for each, or one for all.

use std::io;
use std::pin::Pin;
use std::thread::{Builder, JoinHandle};

use tokio::runtime::Runtime;
use tokio::task::{LocalSet, spawn_local};

/// Makes a duty's future, inside its thread: it need not be `Send`.
pub(crate) type DutyFactory = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = ()>>> + Send>;

/// Boxes what makes a duty's future.
pub(crate) fn duty_factory<F, Fut>(make: F) -> DutyFactory
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    Box::new(move || Box::pin(make()))
}

/// Starts all duties; returns the thread of the last, which ends with it.
///
/// On a small part of a core one thread serves all: each message that crosses
/// threads there costs a wake-up that the call waits for.
pub(crate) fn spawn_duties(
    mut bodies: Vec<(&str, DutyFactory)>,
    one_thread: bool,
) -> io::Result<JoinHandle<()>> {
    let (name, last) = bodies.pop().ok_or_else(|| io::Error::other("no duties"))?;
    let mut beside = Vec::new();
    for (name, body) in bodies {
        if one_thread {
            beside.push(body);
        } else {
            spawn(name, Vec::new(), body)?;
        }
    }
    spawn(name, beside, last)
}

/// Starts a thread that runs a duty, and others beside it, on one runtime.
fn spawn(name: &str, beside: Vec<DutyFactory>, body: DutyFactory) -> io::Result<JoinHandle<()>> {
    let runtime: Runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Builder::new().name(name.to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            for other in beside {
                spawn_local(other());
            }
            body().await;
        });
    })
}
