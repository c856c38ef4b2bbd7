//! Hosts many instances of the decision module on the bench's wire: batches come in on standard
//! input, one reply each goes out on standard output. The instances share nothing.

use jaspermoor::decisions::api::{Action, Event};
use jaspermoor::wire::{self, Record, Reply, WireError};
use jaspermoor::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// The instances by number.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Balancer>,
    actions: Vec<Action>,
}

impl Host {
    fn batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let batch = wire::decode(frame)?;
        for code in &batch.skipped {
            eprintln!("skipped a record of unknown code {code}");
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
                        reply.instance_failed(id, &e.to_string());
                    }
                },
                Record::Crash => {
                    if self.instances.remove(&id).is_none() {
                        eprintln!("ignored the end of unknown instance {id}");
                    }
                }
                Record::Event(event) => self.event(id, batch.now, event, &mut reply),
            }
        }
        Ok(reply.finish(batch.number))
    }

    fn event(&mut self, id: u32, now: u64, event: Event, reply: &mut Reply) {
        let Some(balancer) = self.instances.get_mut(&id) else {
            eprintln!("ignored an event for unknown instance {id}");
            return;
        };
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            Ok(handled) => {
                for action in &self.actions {
                    reply.action(id, action);
                }
                if let Err(unknown) = handled {
                    eprintln!("ignored an event for instance {id}: {unknown}");
                }
            }
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or(panic.downcast_ref::<&str>().copied())
                    .unwrap_or("no text");
                self.instances.remove(&id);
                reply.instance_failed(id, &format!("the decision module panicked: {text}"));
            }
        }
    }
}

/// Fills the buffer; `Ok(false)` if the input had ended before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => {
                let what = format!("the input ends {got} bytes into a part of {}", buffer.len());
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, what));
            }
            Ok(n) => got += n,
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
        if !fill(&mut input, &mut prefix)? {
            return Ok(());
        }
        let rest = wire::remaining_frame_bytes(&prefix)?;
        frame.clear();
        frame.extend_from_slice(&prefix);
        // Grows with what arrives, never with what a header claims.
        let got = input.by_ref().take(rest as u64).read_to_end(&mut frame)?;
        if got < rest {
            return Err(format!(
                "malformed frame at byte {}: the input ends, {rest} expected",
                got + 8
            )
            .into());
        }
        output.write_all(&host.batch(&frame)?)?;
        output.flush()?;
    }
}

fn main() -> ExitCode {
    // The text of a panic goes out as the instance's own report.
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
