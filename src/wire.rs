//! Codec of a simulator's binary protocol: frames, records and JSON settings, and their translation
//! to and from [`crate::decisions::api`]. It makes no decisions.
//!
//! `jaspermoor-simhost` speaks this protocol. The relay's configuration uses the same JSON
//! settings.

use crate::decisions::api::{
    Action, Class, DeduplicationScope, EndpointId, EndpointListKind, EndpointState,
    EndpointWeights, Event, Idempotency, ListedEndpoint, Micros, Outcome, ReportColumn, Request,
    RequestId, Settings,
};
use simd_json::owned::Object;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::fmt;

/// Size of the first part of a batch: the record count and the length field.
pub const PREFIX_BYTES: usize = 8;
/// Bytes of the batch header after the length field, which counts them too.
const REMAINING_HEADER_BYTES: usize = 12;
/// Bytes of one entry of an endpoint list.
const ENDPOINT_ENTRY_BYTES: usize = 25;
/// Limit of a batch's length field: a greater value means that the frame is corrupt.
pub const MAX_FRAME_BYTES: usize = 1 << 30;

/// A malformed frame: the problem and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Byte offset in the frame.
    pub offset: usize,
    /// Description of the problem.
    pub problem: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "malformed frame at byte {}: {}",
            self.offset, self.problem
        )
    }
}

impl std::error::Error for WireError {}

fn malformed<T>(offset: usize, problem: impl Into<String>) -> Result<T, WireError> {
    Err(WireError {
        offset,
        problem: problem.into(),
    })
}

/// A cursor over big-endian fields that never reads past its end.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    end: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize, field: &str) -> Result<&'a [u8], WireError> {
        match self.at.checked_add(n) {
            Some(end) if end <= self.end => {
                let part = &self.bytes[self.at..end];
                self.at = end;
                Ok(part)
            }
            _ => malformed(self.at, format!("too short for {field}")),
        }
    }

    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N, field)?);
        Ok(array)
    }

    fn u8(&mut self, field: &str) -> Result<u8, WireError> {
        Ok(self.array::<1>(field)?[0])
    }

    fn u16(&mut self, field: &str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    fn u32(&mut self, field: &str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    fn u64(&mut self, field: &str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    fn f32(&mut self, field: &str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(field)?))
    }

    fn time(&mut self, field: &str) -> Result<Micros, WireError> {
        let at = self.at;
        let millis = f64::from_be_bytes(self.array(field)?);
        micros_from_millis(millis).ok_or(WireError {
            offset: at,
            problem: format!("{field} is not a time"),
        })
    }

    fn endpoint(&mut self) -> Result<EndpointId, WireError> {
        let bytes: [u8; 6] = self.array("server")?;
        Ok(EndpointId(
            bytes.iter().fold(0, |id, &byte| id << 8 | u64::from(byte)),
        ))
    }

    /// Checks that `n` items of `item_bytes` bytes each fit in the rest of the record; returns `n`.
    fn count(&mut self, n: usize, item_bytes: usize, field: &str) -> Result<usize, WireError> {
        match n.checked_mul(item_bytes) {
            Some(bytes) if bytes <= self.end - self.at => Ok(n),
            _ => malformed(
                self.at,
                format!("{field} counts {n} items, more than the record holds"),
            ),
        }
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8("report count")?;
        let n = self.count(usize::from(n), 4, "report")?;
        (0..n).map(|_| self.f32("report")).collect()
    }
}

/// Converts milliseconds to whole microseconds; `None` if the value is negative, not finite or more
/// than 1e15. Rounds down, so that no deadline becomes later; the addend of 0.01 µs compensates for
/// the rounding error of binary fractions.
pub fn micros_from_millis(millis: f64) -> Option<Micros> {
    if !millis.is_finite() || !(0.0..=1e15).contains(&millis) {
        return None;
    }
    Some((millis * 1000.0 + 0.01).floor() as Micros)
}

/// Converts microseconds to milliseconds.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

/// A record of a batch: a command to the host, or an event for an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Starts an instance.
    Create {
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance, as JSON text.
        settings: Vec<u8>,
    },
    /// Ends an instance that the simulator has killed.
    Crash,
    /// An event for the instance.
    Event(Event),
}

/// A batch of records, each with the number of its instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Time of all events of the batch.
    pub now: Micros,
    /// Number of the batch, which the reply repeats.
    pub number: u32,
    /// The records in order, each with the number of its instance.
    pub records: Vec<(u32, Record)>,
    /// Codes of the records that were skipped because they are unknown.
    pub skipped: Vec<u16>,
}

/// The number of bytes that follow the first [`PREFIX_BYTES`] of a batch.
pub fn remaining_frame_bytes(prefix: &[u8; PREFIX_BYTES]) -> Result<usize, WireError> {
    let mut r = Reader {
        bytes: prefix,
        at: 0,
        end: PREFIX_BYTES,
    };
    r.u32("record count")?;
    let remaining = r.u32("length")? as usize;
    if remaining < REMAINING_HEADER_BYTES {
        return malformed(
            4,
            format!("length {remaining} is too short for a batch header"),
        );
    }
    if remaining > MAX_FRAME_BYTES {
        return malformed(
            4,
            format!("length {remaining} is more than {MAX_FRAME_BYTES}"),
        );
    }
    Ok(remaining)
}

/// Decodes one whole batch.
pub fn decode(frame: &[u8]) -> Result<Batch, WireError> {
    let mut r = Reader {
        bytes: frame,
        at: 0,
        end: frame.len(),
    };
    let count = r.u32("record count")? as usize;
    let length = r.u32("length")? as usize;
    if length != frame.len() - r.at {
        return malformed(
            4,
            format!(
                "length is {length}, but {} bytes follow",
                frame.len() - r.at
            ),
        );
    }
    let now = r.time("clock")?;
    let number = r.u32("batch number")?;
    let count = r.count(count, 6, "batch")?;
    let mut batch = Batch {
        now,
        number,
        records: Vec::with_capacity(count),
        skipped: Vec::new(),
    };
    for _ in 0..count {
        let code = r.u16("record code")?;
        let size = r.u32("record length")? as usize;
        let at = r.at;
        r.take(size, "record")?;
        let mut body = Reader {
            bytes: frame,
            at,
            end: at + size,
        };
        match decode_record(code, &mut body)? {
            Some(record) => batch.records.push(record),
            None => batch.skipped.push(code),
        }
    }
    if r.at != frame.len() {
        return malformed(
            r.at,
            format!("{} bytes after the last record", frame.len() - r.at),
        );
    }
    Ok(batch)
}

/// Decodes the body of one record; `None` if the code or its topic is unknown.
fn decode_record(code: u16, r: &mut Reader<'_>) -> Result<Option<(u32, Record)>, WireError> {
    if !matches!(
        code,
        1000 | 1010 | 1020 | 1030 | 1040 | 1050 | 1060 | 1070 | 1080 | 1090 | 1100 | 1110
    ) {
        return Ok(None);
    }
    let instance = r.u32("proxy_id")?;
    let event = match code {
        1000 => {
            let seed = r.u64("seed")?;
            let n = r.u32("profile_data count")? as usize;
            let n = r.count(n, 1, "profile_data")?;
            let settings = r.take(n, "profile_data")?.to_vec();
            return Ok(Some((instance, Record::Create { seed, settings })));
        }
        1090 => return Ok(Some((instance, Record::Crash))),
        1010 => decode_endpoint_list(r)?,
        1020 => {
            let mut request = Request {
                id: RequestId(r.u32("ref")?),
                ..Request::default()
            };
            request.class = usize::from(r.u8("profile")?);
            request.tenant = r.u32("team")?;
            request.client_key = r.u64("affinity")?;
            request.time_left = r.time("budget")?;
            r.take(8, "estimate")?;
            request.group = r.u64("channel")?;
            set_flags(&mut request, r.u8("opts")?);
            Event::Request(request)
        }
        1030 => {
            let id = RequestId(r.u32("ref")?);
            let elapsed = r.time("took")?;
            let endpoint = r.endpoint()?;
            r.u16("attempt")?;
            Event::Connected {
                id,
                endpoint,
                elapsed,
            }
        }
        1040 => {
            let id = RequestId(r.u32("ref")?);
            let outcome = decode_outcome(r)?;
            let endpoint = r.endpoint()?;
            r.u16("attempt")?;
            let request_finished = r.u8("last")? != 0;
            r.time("took")?;
            Event::AttemptEnded {
                id,
                endpoint,
                outcome,
                request_finished,
                report: r.report()?,
            }
        }
        1050 => Event::ClientDisconnected(RequestId(r.u32("ref")?)),
        1060 => Event::Timer(r.u64("nonce")?),
        1070 => {
            let endpoint = r.endpoint()?;
            let outcome = decode_outcome(r)?;
            r.time("took")?;
            Event::HealthCheck {
                endpoint,
                outcome,
                report: r.report()?,
            }
        }
        1080 => {
            let from = r.u32("author")?;
            let n = usize::from(r.u16("body count")?);
            let n = r.count(n, 1, "body")?;
            Event::Gossip {
                from,
                payload: r.take(n, "body")?.to_vec(),
            }
        }
        1100 => {
            let mut request = Request {
                id: RequestId(r.u32("ref")?),
                ..Request::default()
            };
            r.take(8, "estimate")?;
            request.tenant = r.u32("team")?;
            request.time_left = r.time("budget")?;
            request.class = usize::from(r.u8("profile")?);
            request.client_key = r.u64("affinity")?;
            request.group = r.u64("channel")?;
            let endpoint = r.endpoint()?;
            set_flags(&mut request, r.u8("opts")?);
            Event::Adopted { request, endpoint }
        }
        _ => {
            let id = RequestId(r.u32("ref")?);
            let x = r.f32("x")?;
            r.u16("attempt")?;
            let topic = r.u8("topic")?;
            let endpoint = r.endpoint()?;
            match topic {
                1 => Event::LoadSample {
                    id,
                    endpoint,
                    load: x,
                },
                2 => Event::DelaySample {
                    id,
                    endpoint,
                    delay: micros_from_millis(f64::from(x)).unwrap_or(0),
                },
                _ => return Ok(None),
            }
        }
    };
    Ok(Some((instance, Record::Event(event))))
}

fn set_flags(request: &mut Request, bits: u8) {
    request.returning = bits & (2 | 16) != 0;
    request.established = bits & 8 != 0;
}

fn decode_outcome(r: &mut Reader<'_>) -> Result<Outcome, WireError> {
    let at = r.at;
    Ok(match r.u8("reason")? {
        0 => Outcome::Success,
        13 => Outcome::Error,
        8 => Outcome::Rejected,
        4 => Outcome::Timeout,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NotAttempted,
        n => return malformed(at, format!("unknown outcome code {n}")),
    })
}

fn decode_endpoint_list(r: &mut Reader<'_>) -> Result<Event, WireError> {
    r.u64("version")?;
    let at = r.at;
    let kind = match r.u8("kind")? {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Full,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::WatchFailed,
        n => return malformed(at, format!("unknown list kind {n}")),
    };
    let n = r.u32("members_list count")? as usize;
    let n = r.count(n, ENDPOINT_ENTRY_BYTES, "members_list")?;
    let mut endpoints = Vec::with_capacity(n);
    for _ in 0..n {
        let id = r.endpoint()?;
        let zone = r.u16("locality")?;
        r.u16("model")?;
        let cell = r.u16("cell")?;
        let at = r.at;
        let state = match r.u8("lifecycle")? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            n => return malformed(at, format!("unknown server state {n}")),
        };
        let size = r.f32("size")?;
        let started_at = r.time("started_at")?;
        let started_at = (started_at > 0).then_some(started_at);
        endpoints.push(ListedEndpoint {
            id,
            zone,
            cell,
            state,
            size,
            started_at,
        });
    }
    Ok(Event::EndpointList { kind, endpoints })
}

/// Builder of the reply to a batch.
#[derive(Debug, Default)]
pub struct Reply {
    record_count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// An empty reply.
    pub fn new() -> Self {
        Reply::default()
    }

    fn add_record(&mut self, instance: u32, code: u16, fields: &[&[u8]]) {
        let size = 4 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.record_count += 1;
        self.body.extend_from_slice(&code.to_be_bytes());
        self.body.extend_from_slice(&(size as u32).to_be_bytes());
        self.body.extend_from_slice(&instance.to_be_bytes());
        for field in fields {
            self.body.extend_from_slice(field);
        }
    }

    /// Adds a record with a text, which is cut off after `u16::MAX` bytes.
    fn add_text(&mut self, instance: u32, code: u16, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.add_record(instance, code, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Adds the failure of an instance: invalid settings, or a panic of its decision module.
    pub fn add_failure(&mut self, instance: u32, reason: &str) {
        self.add_text(instance, 1010, reason);
    }

    /// Adds an action of an instance.
    pub fn add_action(&mut self, instance: u32, action: &Action) {
        let time = |micros: Micros| millis_from_micros(micros).to_be_bytes();
        let id = |id: RequestId| id.0.to_be_bytes();
        let endpoint_id = |endpoint: EndpointId| -> [u8; 6] {
            let bytes = endpoint.0.to_be_bytes();
            [bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]]
        };
        match action {
            Action::Attempt {
                id: request,
                endpoint,
                give_up_at,
            } => {
                self.add_record(
                    instance,
                    1000,
                    &[&id(*request), &endpoint_id(*endpoint), &time(*give_up_at)],
                );
            }
            Action::CancelAttempt {
                id: request,
                attempt,
            } => {
                self.add_record(instance, 1040, &[&id(*request), &attempt.to_be_bytes()]);
            }
            Action::Reject {
                id: request,
                retry_after,
            } => self.add_record(instance, 1070, &[&id(*request), &time(*retry_after)]),
            Action::Fail(request) => self.add_record(instance, 1110, &[&id(*request)]),
            Action::Migrate(request) => self.add_record(instance, 1020, &[&id(*request)]),
            Action::SetTimer { at, token } => {
                self.add_record(instance, 1030, &[&time(*at), &token.to_be_bytes()])
            }
            Action::CheckHealth(endpoint) => {
                self.add_record(instance, 1050, &[&endpoint_id(*endpoint)])
            }
            Action::WatchEndpointList(on) => self.add_record(instance, 1060, &[&[u8::from(*on)]]),
            Action::Log(line) => self.add_text(instance, 1090, line),
        }
    }

    /// The complete frame that replies to the batch with that number.
    pub fn finish(self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(self.body.len() + 12);
        frame.extend_from_slice(&self.record_count.to_be_bytes());
        frame.extend_from_slice(&((self.body.len() + 4) as u32).to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the setting; empty if the error is about the settings as a whole.
    pub key: String,
    /// Description of the problem, as the predicate of a sentence whose subject is the setting.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    /// Formats a full sentence that names the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "The settings {}.", self.problem),
            key => write!(f, "The setting '{key}' {}.", self.problem),
        }
    }
}

impl std::error::Error for SettingsError {}

/// An object of the settings, with its path.
struct Section<'a> {
    path: String,
    map: &'a Object,
}

impl<'a> Section<'a> {
    fn from_value(value: &'a Value, path: &str) -> Result<Self, SettingsError> {
        match value.as_object() {
            Some(map) => Ok(Section {
                path: path.to_string(),
                map,
            }),
            None => Err(SettingsError {
                key: path.to_string(),
                problem: "is not an object".into(),
            }),
        }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn invalid<T>(&self, key: &str, problem: &str) -> Result<T, SettingsError> {
        Err(SettingsError {
            key: self.path_of(key),
            problem: problem.to_string(),
        })
    }

    fn get(&self, key: &str) -> Result<&'a Value, SettingsError> {
        match self.map.get(key) {
            Some(value) => Ok(value),
            None => self.invalid(key, "is missing"),
        }
    }

    fn section(&self, key: &str) -> Result<Section<'a>, SettingsError> {
        Section::from_value(self.get(key)?, &self.path_of(key))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], SettingsError> {
        match self.get(key)?.as_array() {
            Some(list) => Ok(list),
            None => self.invalid(key, "is not a list"),
        }
    }

    fn number(&self, key: &str, min: f64, max: f64) -> Result<f64, SettingsError> {
        match self.get(key)?.cast_f64() {
            Some(n) if n >= min && n <= max => Ok(n),
            Some(n) => self.invalid(key, &format!("is {n}, outside {min} to {max}")),
            None => self.invalid(key, "is not a number"),
        }
    }

    fn integer(&self, key: &str, min: u64, max: u64) -> Result<u64, SettingsError> {
        match self.get(key)?.as_u64() {
            Some(n) if (min..=max).contains(&n) => Ok(n),
            Some(n) => self.invalid(key, &format!("is {n}, outside {min} to {max}")),
            None => self.invalid(key, "is not a whole number"),
        }
    }

    fn time(&self, key: &str, min_ms: f64) -> Result<Micros, SettingsError> {
        Ok(micros_from_millis(self.number(key, min_ms, 1e12)?).unwrap_or(0))
    }

    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.get(key)?.as_bool() {
            Some(flag) => Ok(flag),
            None => self.invalid(key, "is not true or false"),
        }
    }

    fn string(&self, key: &str) -> Result<&'a str, SettingsError> {
        match self.get(key)?.as_str() {
            Some(string) => Ok(string),
            None => self.invalid(key, "is not a string"),
        }
    }
}

/// Parses the JSON text of an instance's settings.
pub fn parse_settings(text: &[u8]) -> Result<Settings, SettingsError> {
    let value = simd_json::to_owned_value(&mut text.to_vec()).map_err(|e| SettingsError {
        key: String::new(),
        problem: format!("are not valid JSON: {e}"),
    })?;
    settings_from_value(&value)
}

/// Reads the settings object. Keys that the decision module does not use are ignored.
pub fn settings_from_value(value: &Value) -> Result<Settings, SettingsError> {
    let top = Section::from_value(value, "profile_data")?;
    let top = Section {
        path: String::new(),
        ..top
    };
    let limits = top.section("limits")?;
    let rules = top.section("rules")?;
    let report = top.section("report")?;
    let family = top
        .map
        .get("family_info")
        .map(|value| Section::from_value(value, "family_info"))
        .transpose()?;
    let family_with = |key: &str| {
        family
            .as_ref()
            .filter(|family| family.map.contains_key(key))
    };

    let balancer_count = top.integer("peers_total", 1, 1 << 20)? as u32;
    let balancer_index = top.integer("me", 0, u64::from(balancer_count) - 1)? as u32;
    let zone_count = top.list("zones")?.len().max(1) as u64;
    let forwards_packets = match family_with("mode") {
        Some(family) => match family.string("mode")? {
            "proxy" => false,
            "pass" => true,
            _ => return family.invalid("mode", "is neither 'proxy' nor 'pass'"),
        },
        None => false,
    };
    let message_objectives = match family_with("message_aim") {
        Some(family) => family.list("message_aim")?,
        None => &[],
    };
    let mut classes = Vec::new();
    for (i, value) in top.list("grades")?.iter().enumerate() {
        let class = Section::from_value(value, &format!("grades[{i}]"))?;
        let scope = match class.string("group")? {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => return class.invalid("group", "is none of 'all', 'zone' and 'cell'"),
        };
        let idempotency = match class.string("idempotency")? {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed {
                scope,
                window: class.time("window", 0.0)?,
            },
            "unsafe" => Idempotency::NonIdempotent,
            _ => return class.invalid("idempotency", "is none of 'safe', 'keyed' and 'unsafe'"),
        };
        let message_objective = match message_objectives
            .get(i)
            .map(|v| v.cast_f64().and_then(micros_from_millis))
        {
            Some(Some(objective)) => objective,
            Some(None) => {
                return top.invalid(
                    "family_info.message_aim",
                    "contains a value that is not a time",
                )
            }
            None => 0,
        };
        let setup_objective = class.time("goal_time", 0.001)?;
        classes.push(Class {
            setup_objective,
            deadline: class.time("deadline", 0.001)?,
            idempotency,
            message_objective,
        });
    }
    if classes.is_empty() {
        return top.invalid("grades", "is empty");
    }
    let polls_endpoint_list = match top.string("membership_mode")? {
        "pushed" => false,
        "on_request" => true,
        _ => return top.invalid("membership_mode", "is neither 'pushed' nor 'on_request'"),
    };
    let weights = match top.string("weights")? {
        "none" => EndpointWeights::None,
        "nominal" | "rough" => EndpointWeights::Nominal,
        "live" => EndpointWeights::Live,
        _ => {
            return top.invalid(
                "weights",
                "is none of 'none', 'nominal', 'rough' and 'live'",
            )
        }
    };
    let mut report_columns = Vec::new();
    for value in report.list("columns")? {
        report_columns.push(match value.as_str() {
            Some("x0") if family_with("report_x0").is_some() => ReportColumn::Load,
            Some("active") => ReportColumn::Active,
            Some(_) => ReportColumn::Other,
            None => return report.invalid("columns", "contains a value that is not a string"),
        });
    }
    let may_send_retry_after = limits.flag("retry_after")?;
    let max_poll_interval = if polls_endpoint_list {
        rules.time("ask_within", 1.0)?
    } else {
        0
    };
    Ok(Settings {
        balancer_count,
        balancer_index,
        zone: top.integer("az", 0, zone_count - 1)? as u16,
        tick: top.time("tick", 0.001)?,
        forwards_packets,
        classes,
        polls_endpoint_list,
        weights,
        may_cancel: limits.flag("cancel")?,
        may_check_health: limits.flag("probes")?,
        max_attempts: limits.integer("max_attempts", 1, 1 << 16)? as u32,
        connect_timeout: limits.time("dial_timeout", 0.0)?,
        max_retry_after: if may_send_retry_after {
            limits.time("max_retry_after", 0.0)?
        } else {
            0
        },
        report_columns,
        drain_grace: rules.time("drain_grace", 0.0)?,
        initial_capacity: rules.number("start_capacity", 0.0, 1.0)? as f32,
        warm_up_time: rules.time("warm_within", 0.0)?,
        overload_factor: rules.number("overload_factor", 0.0, 1e6)? as f32,
        overload_window: rules.time("fall", 0.0)?,
        max_poll_interval,
    })
}
