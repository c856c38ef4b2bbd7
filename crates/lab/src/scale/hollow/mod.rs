//! Hollow relays: the program's own code of the control, many to a process, with the data path left out.
//!
//! A process of them is told what to do in lines of JSON on its standard input, answers each on its standard output, and
//! ends when its input does: it never outlives whoever started it.

mod prober;
pub mod process;
pub mod protocol;
mod relay;
mod watch;
