//! Bounded ring buffers between the duties of a daemon.
//!
//! Each duty owns one inbox; every sender to it has its own ring buffer. A full ring buffer
//! returns the message, so that the sender drops and counts it instead of blocking.

use std::cell::RefCell;
use std::sync::Arc;

use rtrb::{Consumer, Producer, RingBuffer};
use tokio::sync::Notify;

/// Sending end of one ring buffer.
#[derive(Debug)]
pub(crate) struct RingSender<T> {
    producer: RefCell<Producer<T>>,
    wake: Arc<Notify>,
}

impl<T> RingSender<T> {
    /// Sends a message and wakes the receiver.
    ///
    /// # Errors
    ///
    /// Returns the message if the ring buffer is full.
    pub(crate) fn push(&self, message: T) -> Result<(), T> {
        let pushed = self.producer.borrow_mut().push(message);
        self.wake.notify_one();
        pushed.map_err(|rtrb::PushError::Full(message)| message)
    }
}

/// Receiving end of all ring buffers of one duty.
#[derive(Debug)]
pub(crate) struct RingInbox<T> {
    rings: Vec<Consumer<T>>,
    wake: Arc<Notify>,
    /// Index of the ring buffer to read first next time, so that none starves.
    first: usize,
}

impl<T> RingInbox<T> {
    /// Creates an inbox without senders.
    pub(crate) fn open() -> Self {
        Self { rings: Vec::new(), wake: Arc::new(Notify::new()), first: 0 }
    }

    /// Adds a ring buffer for `capacity` messages and returns its sending end.
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
        for offset in 0..count {
            let index = (self.first + offset) % count;
            if let Ok(message) = self.rings[index].pop() {
                self.first = (index + 1) % count;
                return Some(message);
            }
        }
        None
    }
}
