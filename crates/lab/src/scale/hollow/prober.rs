//! Stands in for the thread that serves clients where an owner wants backends probed: each is answered at once, with the
//! same load.

use jaspermoor::load::LoadReportCache;
use jaspermoor::sys::boottime;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// What each backend says: connections and load, in the columns of [`COLUMNS`].
const REPORT: [f32; 2] = [12.0, 0.3];
/// The columns in which backends tell their load.
pub const COLUMNS: [&str; 2] = ["active", "x0"];

/// Answers probes of all hollow relays of this process.
#[derive(Clone)]
pub struct Prober {
    wanted: Arc<Mutex<Sender<Arc<LoadReportCache>>>>,
}

impl Prober {
    /// Starts its thread, which lasts as long as the process.
    pub fn start() -> Prober {
        let (wanted, books) = channel::<Arc<LoadReportCache>>();
        thread::spawn(move || books.iter().for_each(|book| answer(&book)));
        Prober {
            wanted: Arc::new(Mutex::new(wanted)),
        }
    }

    /// Answers the probes that are wanted in this book from now on.
    pub fn serve(&self, book: &Arc<LoadReportCache>) {
        // Held weakly: the book would keep itself.
        let (prober, book_of) = (self.clone(), Arc::downgrade(book));
        book.set_checker_waker(Arc::new(move || {
            if let Some(book) = book_of.upgrade() {
                let _ = jaspermoor::sys::lock(&prober.wanted).send(book);
            }
        }));
    }
}

fn answer(book: &LoadReportCache) {
    while let Some(server) = book.next_check() {
        book.check_finished(server, boottime(), Some(REPORT.to_vec()));
    }
}
