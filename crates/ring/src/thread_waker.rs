use std::{
    sync::Arc,
    task::{Wake, Waker},
    thread::{self, Thread},
};

/// Unparks a thread when woken.
struct ThreadWaker(Thread);

impl Wake for ThreadWaker {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.unpark();
    }
}

/// Creates a waker that unparks the calling thread.
///
/// # Examples
///
/// ```
/// let waker = rosemarybank_ring::thread_waker();
/// waker.wake_by_ref();
/// std::thread::park(); // returns immediately: the unpark token is set
/// ```
#[must_use]
pub fn thread_waker() -> Waker {
    Waker::from(Arc::new(ThreadWaker(thread::current())))
}
