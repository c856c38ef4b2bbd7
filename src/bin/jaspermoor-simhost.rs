//! Hosts many independent instances of the decision module for a simulator: reads batches in the
//! simulator's binary protocol from standard input and writes one reply per batch to standard
//! output.

use jaspermoor::decisions::api::{Action, Event};
use jaspermoor::wire::{self, Record, Reply, WireError};
use jaspermoor::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// The instances of the decision module, by number.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Balancer>,
    actions: Vec<Action>,
}

impl Host {
    fn handle_batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let batch = wire::decode(frame)?;
        for code in &batch.skipped {
            eprintln!("skipped a record with unknown code {code}");
        }
        let mut reply = Reply::new();
        for (id, record) in batch.records {
            match record {
                Record::Create { seed, settings } => match wire::parse_settings(&settings) {
                    Ok(settings) => {
                        self.instances.insert(id, Balancer::new(settings, seed));
                    }
                    Err(e) => {
                        self.instances.remove(&id);
                        reply.add_failure(id, &e.to_string());
                    }
                },
                Record::Crash => {
                    if self.instances.remove(&id).is_none() {
                        eprintln!("ignored the end of unknown instance {id}");
                    }
                }
                Record::Event(event) => self.handle_event(id, batch.now, event, &mut reply),
            }
        }
        Ok(reply.finish(batch.number))
    }

    fn handle_event(&mut self, id: u32, now: u64, event: Event, reply: &mut Reply) {
        let Some(balancer) = self.instances.get_mut(&id) else {
            eprintln!("ignored an event for unknown instance {id}");
            return;
        };
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            Ok(result) => {
                for action in &self.actions {
                    reply.add_action(id, action);
                }
                if let Err(unknown) = result {
                    eprintln!("ignored an event for instance {id}: {unknown}");
                }
            }
            Err(panic) => {
                let message = panic.downcast_ref::<String>().map(String::as_str);
                let message = message
                    .or(panic.downcast_ref::<&str>().copied())
                    .unwrap_or("no message");
                self.instances.remove(&id);
                reply.add_failure(id, &format!("the decision module panicked: {message}"));
            }
        }
    }
}

/// Fills the buffer; `Ok(false)` if the input ends before the first byte.
fn fill_buffer(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                let message = format!(
                    "malformed frame: the input ends after {filled} of the first {} bytes",
                    buffer.len()
                );
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
            }
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut frame = Vec::new();
    loop {
        let mut prefix = [0; wire::PREFIX_BYTES];
        if !fill_buffer(&mut input, &mut prefix)? {
            return Ok(());
        }
        let remaining = wire::remaining_frame_bytes(&prefix)?;
        frame.clear();
        frame.extend_from_slice(&prefix);
        // The buffer grows with the bytes that arrive: the length in a malformed header must not
        // allocate memory.
        let received = input
            .by_ref()
            .take(remaining as u64)
            .read_to_end(&mut frame)?;
        if received < remaining {
            return Err(format!(
                "malformed frame at byte {}: the input ends, {remaining} bytes expected after the prefix",
                received + wire::PREFIX_BYTES
            )
            .into());
        }
        output.write_all(&host.handle_batch(&frame)?)?;
        output.flush()?;
    }
}

fn main() -> ExitCode {
    // A panic is also reported in the reply, for its instance. Standard error gets one line for it.
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{}", info.to_string().replace('\n', ": "))
    }));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jaspermoor-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}
