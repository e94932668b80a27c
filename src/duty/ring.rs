//! Bounded rings that join the threads of a daemon.
//!
//! Each duty owns one inbox; every sender to it has a ring of its own. A full
//! ring hands the message back, so that the sender sheds and counts instead of
//! blocking.

use std::cell::RefCell;
use std::sync::Arc;

use rtrb::{Consumer, Producer, RingBuffer};
use tokio::sync::Notify;

/// The sending end of one ring.
#[derive(Debug)]
pub(crate) struct RingSender<T> {
    producer: RefCell<Producer<T>>,
    wake: Arc<Notify>,
}

impl<T> RingSender<T> {
    /// Sends a message, or hands it back when the ring is full.
    pub(crate) fn push(&self, message: T) -> Result<(), T> {
        let pushed = self.producer.borrow_mut().push(message);
        self.wake.notify_one();
        pushed.map_err(|rtrb::PushError::Full(message)| message)
    }
}

/// The receiving end of all rings towards one duty.
#[derive(Debug)]
pub(crate) struct RingInbox<T> {
    rings: Vec<Consumer<T>>,
    wake: Arc<Notify>,
    /// The ring to look at first, so that none starves.
    next: usize,
}

impl<T> RingInbox<T> {
    /// Opens an inbox without senders.
    pub(crate) fn open() -> Self {
        Self { rings: Vec::new(), wake: Arc::new(Notify::new()), next: 0 }
    }

    /// Adds a ring of `capacity` messages and returns its sending end.
    pub(crate) fn add_sender(&mut self, capacity: usize) -> RingSender<T> {
        let (producer, consumer) = RingBuffer::new(capacity);
        self.rings.push(consumer);
        RingSender { producer: RefCell::new(producer), wake: Arc::clone(&self.wake) }
    }

    /// Waits for the next message.
    pub(crate) async fn next(&mut self) -> T {
        loop {
            if let Some(message) = self.pop() {
                return message;
            }
            self.wake.notified().await;
        }
    }

    fn pop(&mut self) -> Option<T> {
        let count = self.rings.len();
        for step in 0..count {
            let index = (self.next + step) % count;
            if let Ok(message) = self.rings[index].pop() {
                self.next = (index + 1) % count;
                return Some(message);
            }
        }
        None
    }
}
