use std::{
    sync::Arc,
    task::{Wake, Waker},
    thread::{self, Thread},
};

struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.unpark();
    }
}

/// Makes a waker that unparks the calling thread.
///
/// # Examples
///
/// ```
/// let waker = rosemarybank_ring::thread_waker();
/// waker.wake_by_ref();
/// std::thread::park(); // returns at once: the token was set
/// ```
#[must_use]
pub fn thread_waker() -> Waker {
    Waker::from(Arc::new(Unpark(thread::current())))
}
