//! Client for operators' commands: asks the voters of a fleet, one after the other, until the
//! leader answers.
//!
//! Guards against: a voter that is down or does not lead (the next one is asked, or the one that it
//! names), a leader that the operator file does not name, and a wait without end.

use jaspermoor::net::fleet::{random_number, FleetSettings};
use jaspermoor_control::wire::frame::{FrameError, FrameSession};
use jaspermoor_control::wire::message::{FleetStatus, Message, OperatorRequest, OperatorResponse};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long one voter may take to answer before the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a round in which every voter was asked without an answer from the leader.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Size of the read buffer.
const READ_BYTES: usize = 64 * 1024;
/// The number of the only request of a connection; the response carries the same number.
const REQUEST_NUMBER: u64 = 1;

/// Error of a request to the fleet.
#[derive(Debug)]
pub enum ClientError {
    /// No leader answered before the deadline.
    NoAnswer(LastAttempt),
    /// The connection failed.
    Io(io::Error),
    /// The voter closed the connection, or took too long.
    ConnectionClosed,
    /// The voter sent bytes that are not a frame of this fleet.
    InvalidFrame(FrameError),
    /// The response has a different type than the request asks for.
    UnexpectedResponse(Box<OperatorResponse>),
}

/// Result of the last request to a voter.
#[derive(Debug)]
pub enum LastAttempt {
    /// No voter was asked.
    None,
    /// The voter named another one as the leader.
    Redirected {
        /// Number of the named leader.
        leader: u64,
    },
    /// The voter knows no leader.
    NoLeader,
    /// The voter gave no usable answer.
    Failed {
        /// Its number.
        voter: u64,
        /// Its address.
        address: SocketAddr,
        /// Cause of the failure.
        error: Box<ClientError>,
    },
}

impl ClientError {
    /// Error for a response that does not match the request.
    pub fn unexpected(response: OperatorResponse) -> ClientError {
        ClientError::UnexpectedResponse(Box::new(response))
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::NoAnswer(last) => write!(f, "no answer: {last}"),
            ClientError::Io(e) => e.fmt(f),
            ClientError::ConnectionClosed => f.write_str(
                "it closed the connection or took too long: check fleet.id and fleet.keys",
            ),
            ClientError::InvalidFrame(e) => e.fmt(f),
            ClientError::UnexpectedResponse(response) => {
                write!(f, "unexpected response: {response:?}")
            }
        }
    }
}

impl fmt::Display for LastAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LastAttempt::None => f.write_str("no voter was asked"),
            LastAttempt::Redirected { leader } => {
                write!(f, "voter {leader} was named as the leader")
            }
            LastAttempt::NoLeader => f.write_str(
                "no voter leads: a majority of the voters must be running and connected",
            ),
            LastAttempt::Failed {
                voter,
                address,
                error,
            } => write!(f, "voter {voter} at {address}: {error}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<io::Error> for ClientError {
    fn from(e: io::Error) -> ClientError {
        ClientError::Io(e)
    }
}

/// A voter's number and address.
#[derive(Clone, Copy)]
struct VoterAddress {
    number: u64,
    address: SocketAddr,
}

/// Asks the voters until the leader answers or the deadline has passed.
pub struct OperatorClient {
    settings: FleetSettings,
    deadline: Instant,
    /// The voters of the operator file, and leaders that voters named in redirects.
    voters: Vec<VoterAddress>,
    /// Index of the next voter to ask, modulo the number of voters.
    next_voter: usize,
}

impl OperatorClient {
    /// Creates a client of the voters in the operator file. `max_wait` limits the total time of all
    /// its requests.
    pub fn new(settings: FleetSettings, max_wait: Duration) -> OperatorClient {
        let voters = settings
            .fleet
            .voters
            .iter()
            .map(|voter| VoterAddress {
                number: voter.number,
                address: voter.address,
            })
            .collect();
        OperatorClient {
            settings,
            deadline: Instant::now() + max_wait,
            voters,
            next_voter: 0,
        }
    }

    /// Whether the total time of the requests is over.
    pub fn deadline_passed(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Sends a request to the voters until the leader responds.
    pub fn request(&mut self, request: &OperatorRequest) -> Result<OperatorResponse, ClientError> {
        let mut last_attempt = LastAttempt::None;
        while !self.deadline_passed() {
            for _ in 0..self.voters.len() {
                let voter = self.voters[self.next_voter % self.voters.len()];
                match self.request_from(voter.address, request) {
                    Ok(OperatorResponse::Redirect(Some((leader, address)))) => {
                        last_attempt = LastAttempt::Redirected { leader };
                        self.next_voter = self
                            .index_of_leader(leader, &address)
                            .unwrap_or(self.next_voter + 1);
                    }
                    Ok(OperatorResponse::Redirect(None)) => {
                        last_attempt = LastAttempt::NoLeader;
                        self.next_voter += 1;
                    }
                    Ok(response) => return Ok(response),
                    Err(error) => {
                        last_attempt = LastAttempt::Failed {
                            voter: voter.number,
                            address: voter.address,
                            error: Box::new(error),
                        };
                        self.next_voter += 1;
                    }
                }
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        Err(ClientError::NoAnswer(last_attempt))
    }

    /// The index of a leader in `voters`. A leader that is not in `voters` is added with this
    /// address; `None` if the address cannot be parsed.
    fn index_of_leader(&mut self, leader: u64, address: &str) -> Option<usize> {
        let known = self.voters.iter().position(|voter| voter.number == leader);
        if known.is_some() {
            return known;
        }
        self.voters.push(VoterAddress {
            number: leader,
            address: address.parse().ok()?,
        });
        Some(self.voters.len() - 1)
    }

    /// Sends a request to the voter at that address, whether it leads or not.
    pub fn request_from(
        &self,
        address: SocketAddr,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, ClientError> {
        let mut socket = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
        socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        socket.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        let mut session = FrameSession::new(
            true,
            self.settings.keys.clone(),
            self.settings.wire_id(),
            random_number(),
        );
        send_outgoing(&mut socket, &mut session)?;
        let mut buffer = vec![0; READ_BYTES];
        let mut request_sent = false;
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let received = socket.read(&mut buffer)?;
            if received == 0 || Instant::now() > deadline {
                return Err(ClientError::ConnectionClosed);
            }
            let frames = session
                .feed(&buffer[..received])
                .map_err(ClientError::InvalidFrame)?;
            if let Some(response) = find_response(&frames) {
                return Ok(response);
            }
            // The request can be sealed only after the handshake.
            if session.is_established() && !request_sent {
                request_sent = true;
                let message = Message::OperatorRequest(REQUEST_NUMBER, request.clone());
                session.send(&message.encode());
                send_outgoing(&mut socket, &mut session)?;
            }
        }
    }

    /// Requests the state of the fleet.
    pub fn status(&mut self) -> Result<FleetStatus, ClientError> {
        match self.request(&OperatorRequest::Status)? {
            OperatorResponse::Status(status) => Ok(*status),
            other => Err(ClientError::unexpected(other)),
        }
    }
}

fn send_outgoing(socket: &mut TcpStream, session: &mut FrameSession) -> io::Result<()> {
    socket.write_all(session.outgoing())?;
    session.outgoing().clear();
    Ok(())
}

fn find_response(frames: &[Vec<u8>]) -> Option<OperatorResponse> {
    frames
        .iter()
        .find_map(|frame| match Message::decode(frame)? {
            Message::OperatorResponse(REQUEST_NUMBER, response) => Some(response),
            _ => None,
        })
}
