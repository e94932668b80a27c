//! One thread for each duty of a daemon.

use std::io;
use std::thread::{Builder, JoinHandle};

use tokio::task::LocalSet;

/// Starts a thread that runs one future on a runtime of its own.
///
/// The future is made inside the thread, so it need not be `Send`.
pub(crate) fn spawn<F, Fut>(name: &str, body: F) -> io::Result<JoinHandle<()>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Builder::new().name(name.to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async move { body().await });
    })
}
