//! What a process takes of the machine, as /proc tells.

use procfs::process::{Process, Task};
use std::io;
use std::time::Duration;

/// One look at a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessSample {
    /// Time on processors of all threads that it has now.
    pub on_processor: Duration,
    /// The same of the thread that was asked for by its name; 0 where there is none.
    pub of_thread: Duration,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Threads.
    pub threads: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

fn failed(e: procfs::ProcError) -> io::Error {
    io::Error::other(e.to_string())
}

/// Looks at a process, and at its thread of that name.
pub fn sample(pid: u32, thread: &str) -> io::Result<ProcessSample> {
    let process = Process::new(pid as i32).map_err(failed)?;
    let mut sample = ProcessSample::default();
    for task in process.tasks().map_err(failed)?.flatten() {
        // A thread that ends meanwhile counts for nothing.
        let Ok(time) = time_of(&task) else { continue };
        sample.threads += 1;
        sample.on_processor += time;
        if task.stat().is_ok_and(|stat| stat.comm == thread) {
            sample.of_thread += time;
        }
    }
    let pages = process.statm().map_err(failed)?.resident;
    sample.memory_bytes = pages * procfs::page_size();
    sample.descriptors = process.fd_count().map_err(failed)? as u64;
    Ok(sample)
}

/// Looks at this process.
pub fn sample_own() -> io::Result<ProcessSample> {
    sample(std::process::id(), "")
}

/// Time on a processor of a thread of this process, by its number.
pub fn time_of_thread(thread: i32) -> io::Result<Duration> {
    let process = Process::myself().map_err(failed)?;
    time_of(&process.task_from_tid(thread).map_err(failed)?)
}

fn time_of(task: &Task) -> io::Result<Duration> {
    Ok(Duration::from_nanos(
        task.schedstat().map_err(failed)?.sum_exec_runtime,
    ))
}

/// Memory of the machine, in bytes.
pub fn machine_memory() -> io::Result<u64> {
    use procfs::Current;
    Ok(procfs::Meminfo::current().map_err(failed)?.mem_total)
}

/// Raises this process's own limit of descriptors as far as it may, and says how many it may open then.
pub fn raise_descriptor_limit() -> u64 {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) => limit.maximum.unwrap_or(u64::MAX),
        Err(_) => limit.current.unwrap_or(u64::MAX),
    }
}
