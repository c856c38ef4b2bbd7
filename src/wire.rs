//! Codec of the bench's wire: frames, records, the JSON settings, and the translation of both to
//! and from [`crate::decisions::api`]. It decides nothing.

use crate::decisions::api::{
    Action, Class, DeduplicationScope, EndpointId, EndpointListKind, EndpointState,
    EndpointWeights, Event, Idempotency, ListedEndpoint, Micros, Outcome, ReportColumn, Request,
    RequestId, Settings,
};
use simd_json::owned::Object;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use std::fmt;

/// Bytes of a batch before the length field has been read to its end.
pub const PREFIX_BYTES: usize = 8;
/// Bytes of a batch header that its length field counts.
const HEADER_REST: usize = 12;
/// Bytes of one entry of a list of servers.
const ENTRY: usize = 25;
/// The largest batch that is taken: a length beyond this is damage, not data.
pub const MAX_FRAME_BYTES: usize = 1 << 30;

/// What is wrong with a frame, and where.
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

/// A cursor over big-endian bytes that never reads past its end.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    end: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], WireError> {
        match self.at.checked_add(n) {
            Some(end) if end <= self.end => {
                let part = &self.bytes[self.at..end];
                self.at = end;
                Ok(part)
            }
            _ => malformed(self.at, format!("too short for {what}")),
        }
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], WireError> {
        let mut a = [0; N];
        a.copy_from_slice(self.take(N, what)?);
        Ok(a)
    }

    fn u8(&mut self, what: &str) -> Result<u8, WireError> {
        Ok(self.array::<1>(what)?[0])
    }

    fn u16(&mut self, what: &str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(what)?))
    }

    fn u32(&mut self, what: &str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(what)?))
    }

    fn u64(&mut self, what: &str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(what)?))
    }

    fn f32(&mut self, what: &str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(what)?))
    }

    fn time(&mut self, what: &str) -> Result<Micros, WireError> {
        let at = self.at;
        let ms = f64::from_be_bytes(self.array(what)?);
        micros_from_millis(ms).ok_or(WireError {
            offset: at,
            problem: format!("{what} is not a time"),
        })
    }

    fn server(&mut self) -> Result<EndpointId, WireError> {
        let a: [u8; 6] = self.array("server")?;
        Ok(EndpointId(
            a.iter().fold(0, |id, &b| id << 8 | u64::from(b)),
        ))
    }

    /// A count that what is left of the record can hold, at `width` bytes an item.
    fn count(&mut self, n: usize, width: usize, what: &str) -> Result<usize, WireError> {
        match n.checked_mul(width) {
            Some(bytes) if bytes <= self.end - self.at => Ok(n),
            _ => malformed(
                self.at,
                format!("{what} counts {n} items, more than the record holds"),
            ),
        }
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8("report count")?;
        let n = self.count(usize::from(n), 4, "report")?;
        (0..n).map(|_| self.f32("report")).collect()
    }
}

/// Milliseconds as whole microseconds. Rounds down, so that no deadline is taken for later than it
/// is; the small addend undoes what binary fractions lose.
pub fn micros_from_millis(ms: f64) -> Option<Micros> {
    if !ms.is_finite() || !(0.0..=1e15).contains(&ms) {
        return None;
    }
    Some((ms * 1000.0 + 0.01).floor() as Micros)
}

/// Whole microseconds as milliseconds.
pub fn millis_from_micros(t: Micros) -> f64 {
    t as f64 / 1000.0
}

/// What a record asks of the host or tells an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Start an instance.
    Create {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, as JSON text.
        settings: Vec<u8>,
    },
    /// The instance was killed.
    Crash,
    /// An event for the instance.
    Event(Event),
}

/// A batch of records, each with its instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The time of all its events.
    pub now: Micros,
    /// Its number, to be returned in the reply.
    pub number: u32,
    /// Its records in order.
    pub records: Vec<(u32, Record)>,
    /// Codes of records that were passed over because nothing here knows them.
    pub skipped: Vec<u16>,
}

/// The bytes that follow the first [`PREFIX_BYTES`] ones of a batch.
pub fn remaining_frame_bytes(prefix: &[u8; PREFIX_BYTES]) -> Result<usize, WireError> {
    let mut r = Reader {
        bytes: prefix,
        at: 0,
        end: PREFIX_BYTES,
    };
    r.u32("record count")?;
    let rest = r.u32("length")? as usize;
    if rest < HEADER_REST {
        return malformed(4, format!("length {rest} is less than a header"));
    }
    if rest > MAX_FRAME_BYTES {
        return malformed(4, format!("length {rest} is more than {MAX_FRAME_BYTES}"));
    }
    Ok(rest)
}

/// Reads one whole batch.
pub fn decode(frame: &[u8]) -> Result<Batch, WireError> {
    let mut r = Reader {
        bytes: frame,
        at: 0,
        end: frame.len(),
    };
    let count = r.u32("record count")? as usize;
    let rest = r.u32("length")? as usize;
    if rest != frame.len() - r.at {
        return malformed(
            4,
            format!("length {rest} where {} bytes follow", frame.len() - r.at),
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
        match record(code, &mut body)? {
            Some(found) => batch.records.push(found),
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

fn record(code: u16, r: &mut Reader<'_>) -> Result<Option<(u32, Record)>, WireError> {
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
        1010 => members(r)?,
        1020 => {
            let mut q = Request {
                id: RequestId(r.u32("ref")?),
                ..Request::default()
            };
            q.class = usize::from(r.u8("profile")?);
            q.tenant = r.u32("team")?;
            q.client_key = r.u64("affinity")?;
            q.time_left = r.time("budget")?;
            r.take(8, "estimate")?;
            q.group = r.u64("channel")?;
            flags(&mut q, r.u8("opts")?);
            Event::Request(q)
        }
        1030 => {
            let id = RequestId(r.u32("ref")?);
            let took = r.time("took")?;
            let server = r.server()?;
            r.u16("attempt")?;
            Event::Connected {
                id,
                endpoint: server,
                elapsed: took,
            }
        }
        1040 => {
            let id = RequestId(r.u32("ref")?);
            let outcome = outcome(r)?;
            let server = r.server()?;
            r.u16("attempt")?;
            let last = r.u8("last")? != 0;
            r.time("took")?;
            Event::AttemptEnded {
                id,
                endpoint: server,
                outcome,
                request_finished: last,
                report: r.report()?,
            }
        }
        1050 => Event::ClientDisconnected(RequestId(r.u32("ref")?)),
        1060 => Event::Timer(r.u64("nonce")?),
        1070 => {
            let server = r.server()?;
            let outcome = outcome(r)?;
            r.time("took")?;
            Event::HealthCheck {
                endpoint: server,
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
            let mut q = Request {
                id: RequestId(r.u32("ref")?),
                ..Request::default()
            };
            r.take(8, "estimate")?;
            q.tenant = r.u32("team")?;
            q.time_left = r.time("budget")?;
            q.class = usize::from(r.u8("profile")?);
            q.client_key = r.u64("affinity")?;
            q.group = r.u64("channel")?;
            let server = r.server()?;
            flags(&mut q, r.u8("opts")?);
            Event::Adopted {
                request: q,
                endpoint: server,
            }
        }
        _ => {
            let id = RequestId(r.u32("ref")?);
            let x = r.f32("x")?;
            r.u16("attempt")?;
            let topic = r.u8("topic")?;
            let server = r.server()?;
            match topic {
                1 => Event::LoadSample {
                    id,
                    endpoint: server,
                    load: x,
                },
                2 => Event::DelaySample {
                    id,
                    endpoint: server,
                    delay: micros_from_millis(f64::from(x)).unwrap_or(0),
                },
                _ => return Ok(None),
            }
        }
    };
    Ok(Some((instance, Record::Event(event))))
}

fn flags(q: &mut Request, bits: u8) {
    q.returning = bits & (2 | 16) != 0;
    q.established = bits & 8 != 0;
}

fn outcome(r: &mut Reader<'_>) -> Result<Outcome, WireError> {
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
        n => return malformed(at, format!("no outcome has the code {n}")),
    })
}

fn members(r: &mut Reader<'_>) -> Result<Event, WireError> {
    r.u64("version")?;
    let at = r.at;
    let kind = match r.u8("kind")? {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Full,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::WatchFailed,
        n => return malformed(at, format!("no list has the kind {n}")),
    };
    let n = r.u32("members_list count")? as usize;
    let n = r.count(n, ENTRY, "members_list")?;
    let mut members = Vec::with_capacity(n);
    for _ in 0..n {
        let server = r.server()?;
        let zone = r.u16("locality")?;
        r.u16("model")?;
        let cell = r.u16("cell")?;
        let at = r.at;
        let state = match r.u8("lifecycle")? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            n => return malformed(at, format!("no server has the state {n}")),
        };
        let size = r.f32("size")?;
        let started = r.time("started_at")?;
        let started = (started > 0).then_some(started);
        members.push(ListedEndpoint {
            id: server,
            zone,
            cell,
            state,
            size,
            started_at: started,
        });
    }
    Ok(Event::EndpointList {
        kind,
        endpoints: members,
    })
}

/// A reply as it is put together.
#[derive(Debug, Default)]
pub struct Reply {
    records: u32,
    body: Vec<u8>,
}

impl Reply {
    /// An empty reply.
    pub fn new() -> Self {
        Reply::default()
    }

    fn record(&mut self, instance: u32, code: u16, fields: &[&[u8]]) {
        let size = 4 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.records += 1;
        self.body.extend_from_slice(&code.to_be_bytes());
        self.body.extend_from_slice(&(size as u32).to_be_bytes());
        self.body.extend_from_slice(&instance.to_be_bytes());
        for field in fields {
            self.body.extend_from_slice(field);
        }
    }

    fn text(&mut self, instance: u32, code: u16, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(instance, code, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Declares that an instance's decision code has failed.
    pub fn instance_failed(&mut self, instance: u32, why: &str) {
        self.text(instance, 1010, why);
    }

    /// Adds an action of an instance.
    pub fn action(&mut self, instance: u32, action: &Action) {
        let time = |t: Micros| millis_from_micros(t).to_be_bytes();
        let id = |id: RequestId| id.0.to_be_bytes();
        let address = |s: EndpointId| -> [u8; 6] {
            let b = s.0.to_be_bytes();
            [b[2], b[3], b[4], b[5], b[6], b[7]]
        };
        match action {
            Action::Attempt {
                id: request,
                endpoint: server,
                give_up_at: until,
            } => {
                self.record(
                    instance,
                    1000,
                    &[&id(*request), &address(*server), &time(*until)],
                );
            }
            Action::CancelAttempt {
                id: request,
                attempt,
            } => {
                self.record(instance, 1040, &[&id(*request), &attempt.to_be_bytes()]);
            }
            Action::Reject {
                id: request,
                retry_after: wait,
            } => self.record(instance, 1070, &[&id(*request), &time(*wait)]),
            Action::Fail(request) => self.record(instance, 1110, &[&id(*request)]),
            Action::Migrate(request) => self.record(instance, 1020, &[&id(*request)]),
            Action::SetTimer { at, token } => {
                self.record(instance, 1030, &[&time(*at), &token.to_be_bytes()])
            }
            Action::CheckHealth(server) => self.record(instance, 1050, &[&address(*server)]),
            Action::WatchEndpointList(on) => self.record(instance, 1060, &[&[u8::from(*on)]]),
            Action::Log(line) => self.text(instance, 1090, line),
        }
    }

    /// The whole frame that answers the batch of that number.
    pub fn finish(self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(self.body.len() + 12);
        frame.extend_from_slice(&self.records.to_be_bytes());
        frame.extend_from_slice(&((self.body.len() + 4) as u32).to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the setting; empty if the error is about the settings as a whole.
    pub key: String,
    /// Description of the problem, as the predicate of a sentence whose subject is the setting.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    /// One plain sentence that names the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "The settings {}.", self.problem),
            key => write!(f, "The setting '{key}' {}.", self.problem),
        }
    }
}

impl std::error::Error for SettingsError {}

/// An object of the settings together with the path that leads to it.
struct Section<'a> {
    path: String,
    map: &'a Object,
}

impl<'a> Section<'a> {
    fn of(value: &'a Value, path: &str) -> Result<Self, SettingsError> {
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

    fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn invalid<T>(&self, key: &str, problem: &str) -> Result<T, SettingsError> {
        Err(SettingsError {
            key: self.name(key),
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
        Section::of(self.get(key)?, &self.name(key))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], SettingsError> {
        match self.get(key)?.as_array() {
            Some(list) => Ok(list),
            None => self.invalid(key, "is not a list"),
        }
    }

    fn number(&self, key: &str, least: f64, most: f64) -> Result<f64, SettingsError> {
        match self.get(key)?.cast_f64() {
            Some(n) if n >= least && n <= most => Ok(n),
            Some(n) => self.invalid(key, &format!("is {n}, outside {least} to {most}")),
            None => self.invalid(key, "is not a number"),
        }
    }

    fn whole(&self, key: &str, least: u64, most: u64) -> Result<u64, SettingsError> {
        match self.get(key)?.as_u64() {
            Some(n) if (least..=most).contains(&n) => Ok(n),
            Some(n) => self.invalid(key, &format!("is {n}, outside {least} to {most}")),
            None => self.invalid(key, "is not a whole number"),
        }
    }

    fn time(&self, key: &str, least: f64) -> Result<Micros, SettingsError> {
        Ok(micros_from_millis(self.number(key, least, 1e12)?).unwrap_or(0))
    }

    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.get(key)?.as_bool() {
            Some(flag) => Ok(flag),
            None => self.invalid(key, "is not true or false"),
        }
    }

    fn word(&self, key: &str) -> Result<&'a str, SettingsError> {
        match self.get(key)?.as_str() {
            Some(word) => Ok(word),
            None => self.invalid(key, "is not a word"),
        }
    }
}

/// Reads the text of an instance's settings.
pub fn parse_settings(text: &[u8]) -> Result<Settings, SettingsError> {
    let value = simd_json::to_owned_value(&mut text.to_vec()).map_err(|e| SettingsError {
        key: String::new(),
        problem: format!("are not valid JSON: {e}"),
    })?;
    settings_from_value(&value)
}

/// Reads the settings object. Keys that the module has no use for are ignored.
pub fn settings_from_value(value: &Value) -> Result<Settings, SettingsError> {
    let top = Section::of(value, "profile_data")?;
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
        .map(|v| Section::of(v, "family_info"))
        .transpose()?;
    let has = |key: &str| family.as_ref().filter(|f| f.map.contains_key(key));

    let balancers = top.whole("peers_total", 1, 1 << 20)? as u32;
    let number = top.whole("me", 0, u64::from(balancers) - 1)? as u32;
    let zones = top.list("zones")?.len().max(1) as u64;
    let passes_through = match has("mode") {
        Some(f) => match f.word("mode")? {
            "proxy" => false,
            "pass" => true,
            _ => return f.invalid("mode", "is neither 'proxy' nor 'pass'"),
        },
        None => false,
    };
    let message_aims = match has("message_aim") {
        Some(f) => f.list("message_aim")?,
        None => &[],
    };
    let mut classes = Vec::new();
    for (i, value) in top.list("grades")?.iter().enumerate() {
        let c = Section::of(value, &format!("grades[{i}]"))?;
        let group = match c.word("group")? {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => return c.invalid("group", "is none of 'all', 'zone' and 'cell'"),
        };
        let effect = match c.word("idempotency")? {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed {
                scope: group,
                window: c.time("window", 0.0)?,
            },
            "unsafe" => Idempotency::NonIdempotent,
            _ => return c.invalid("idempotency", "is none of 'safe', 'keyed' and 'unsafe'"),
        };
        let message_aim = match message_aims
            .get(i)
            .map(|v| v.cast_f64().and_then(micros_from_millis))
        {
            Some(Some(aim)) => aim,
            Some(None) => {
                return top.invalid(
                    "family_info.message_aim",
                    "holds something that is not a time",
                )
            }
            None => 0,
        };
        let aim = c.time("goal_time", 0.001)?;
        classes.push(Class {
            setup_objective: aim,
            deadline: c.time("deadline", 0.001)?,
            idempotency: effect,
            message_objective: message_aim,
        });
    }
    if classes.is_empty() {
        return top.invalid("grades", "is empty");
    }
    let list_on_request = match top.word("membership_mode")? {
        "pushed" => false,
        "on_request" => true,
        _ => return top.invalid("membership_mode", "is neither 'pushed' nor 'on_request'"),
    };
    let weights = match top.word("weights")? {
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
    let mut columns = Vec::new();
    for value in report.list("columns")? {
        columns.push(match value.as_str() {
            Some("x0") if has("report_x0").is_some() => ReportColumn::Load,
            Some("active") => ReportColumn::Active,
            Some(_) => ReportColumn::Other,
            None => return report.invalid("columns", "holds something that is not a word"),
        });
    }
    let retry_after = limits.flag("retry_after")?;
    let ask_within = if list_on_request {
        rules.time("ask_within", 1.0)?
    } else {
        0
    };
    Ok(Settings {
        balancer_count: balancers,
        balancer_index: number,
        zone: top.whole("az", 0, zones - 1)? as u16,
        tick: top.time("tick", 0.001)?,
        forwards_packets: passes_through,
        classes,
        polls_endpoint_list: list_on_request,
        weights,
        may_cancel: limits.flag("cancel")?,
        may_check_health: limits.flag("probes")?,
        max_attempts: limits.whole("max_attempts", 1, 1 << 16)? as u32,
        connect_timeout: limits.time("dial_timeout", 0.0)?,
        max_retry_after: if retry_after {
            limits.time("max_retry_after", 0.0)?
        } else {
            0
        },
        report_columns: columns,
        drain_grace: rules.time("drain_grace", 0.0)?,
        initial_capacity: rules.number("start_capacity", 0.0, 1.0)? as f32,
        warm_up_time: rules.time("warm_within", 0.0)?,
        overload_factor: rules.number("overload_factor", 0.0, 1e6)? as f32,
        overload_window: rules.time("fall", 0.0)?,
        max_poll_interval: ask_within,
    })
}
