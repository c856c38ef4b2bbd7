//! Asking the voters of a fleet, as staff do: one after the other, until the leader answers.

use super::Failure;
use jaspermoor::net::fleet::{random_number, FleetSettings};
use jaspermoor_control::wire::mac::FrameSession;
use jaspermoor_control::wire::message::{FleetStatus, Message, OperatorRequest, OperatorResponse};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long one voter is waited for before the next is asked.
const ANSWER: Duration = Duration::from_secs(2);
/// Pause before all voters are asked again.
const AGAIN: Duration = Duration::from_millis(200);

/// Asks the voters, one after the other, until the leader answers or the time is up.
pub struct Voters {
    setup: FleetSettings,
    /// Up to when an answer is waited for.
    pub until: Instant,
    /// Numbers and addresses: the operator file's, and what voters say of others.
    known: Vec<(u64, SocketAddr)>,
    /// The one that answered last.
    at: usize,
}

impl Voters {
    /// Those of the operator file, waited for so long in all.
    pub fn new(setup: FleetSettings, wait: Duration) -> Voters {
        let known = setup
            .fleet
            .voters
            .iter()
            .map(|voter| (voter.number, voter.address))
            .collect();
        Voters {
            setup,
            until: Instant::now() + wait,
            known,
            at: 0,
        }
    }

    /// What the leader answers.
    pub fn ask(&mut self, ask: &OperatorRequest) -> Result<OperatorResponse, Failure> {
        let mut last = String::from("none was asked");
        while Instant::now() < self.until {
            for _ in 0..self.known.len() {
                let (number, address) = self.known[self.at % self.known.len()];
                match self.one(address, ask) {
                    Ok(OperatorResponse::Redirect(Some((leader, address)))) => {
                        last = format!("voter {leader} should lead");
                        self.at = self.place(leader, &address).unwrap_or(self.at + 1);
                    }
                    Ok(OperatorResponse::Redirect(None)) => {
                        last = "no voter leads: a majority of them must be up and reach each other"
                            .into();
                        self.at += 1;
                    }
                    Ok(answer) => return Ok(answer),
                    Err(e) => {
                        last = format!("voter {number} at {address}: {e}");
                        self.at += 1;
                    }
                }
            }
            std::thread::sleep(AGAIN);
        }
        Err(format!("no answer: {last}").into())
    }

    /// Where a leader stands among the known. One that no operator file names has its address from the log.
    fn place(&mut self, leader: u64, address: &str) -> Option<usize> {
        if let Some(at) = self.known.iter().position(|(number, _)| *number == leader) {
            return Some(at);
        }
        self.known.push((leader, address.parse().ok()?));
        Some(self.known.len() - 1)
    }

    /// What the one at that address answers, whether it leads or not.
    pub fn one(
        &self,
        addr: SocketAddr,
        ask: &OperatorRequest,
    ) -> Result<OperatorResponse, Failure> {
        let mut socket = TcpStream::connect_timeout(&addr, ANSWER)?;
        socket.set_read_timeout(Some(ANSWER))?;
        socket.set_write_timeout(Some(ANSWER))?;
        let mut session = FrameSession::new(
            true,
            self.setup.keys.clone(),
            self.setup.wire_id(),
            random_number(),
        );
        socket.write_all(session.outgoing())?;
        session.outgoing().clear();
        let (mut piece, mut asked, end) = (vec![0; 64 * 1024], false, Instant::now() + ANSWER);
        loop {
            let n = socket.read(&mut piece)?;
            if n == 0 || Instant::now() > end {
                return Err("it ended the connection: compare fleet.id and fleet.keys".into());
            }
            let messages = session
                .feed(&piece[..n])
                .map_err(|fault| fault.to_string())?;
            for message in messages {
                if let Some(Message::OperatorResponse(1, answer)) = Message::decode(&message) {
                    return Ok(answer);
                }
            }
            if session.is_established() && !std::mem::replace(&mut asked, true) {
                session.send(&Message::OperatorRequest(1, ask.clone()).encode());
                socket.write_all(session.outgoing())?;
                session.outgoing().clear();
            }
        }
    }

    /// How things stand.
    pub fn status(&mut self) -> Result<FleetStatus, Failure> {
        match self.ask(&OperatorRequest::Status)? {
            OperatorResponse::Status(status) => Ok(*status),
            other => Err(format!("an answer to something else: {other:?}").into()),
        }
    }
}
