//! Channel: the newest update of one job at a voter. It is a table, or a full update of an owner of
//! an older build.
//!
//! Input: full updates and changes of tables, whose tokens the caller has checked. Output: the
//! update that a relay lacks, with its age.
//!
//! Guards against: updates that arrive late or twice (the newest token and version win), and
//! updates that are too old to be used (they are not sent).

use super::message::DeliveredUpdate;
use super::stream::HeldVersion;
use super::table::{Table, Version};
use crate::jobs::assignment::FencingToken;
use crate::jobs::load_watch::LoadReports;
use crate::wire::message::Update;
use crate::Micros;
use serde_bytes::ByteBuf;

/// Updates older than this are not sent. Without updates, relays use their own health checks.
const MAX_UPDATE_AGE: Micros = 30_000_000;

/// The newest update of a job. Default: none.
#[derive(Default)]
pub struct Channel {
    content: Content,
    /// Earliest time, by the voter's clock, at which the content was valid.
    valid_since: Micros,
}

#[derive(Default)]
enum Content {
    #[default]
    Empty,
    Full(Update),
    Table {
        table: Box<Table>,
        /// The table encoded as the payload of a full update; cached once a relay of an older build
        /// has needed it.
        full_payload: Option<Vec<u8>>,
    },
}

impl Channel {
    /// Fencing token of the owner that published the update; 0 if there is none.
    pub fn token(&self) -> FencingToken {
        self.held_version().token
    }

    /// Token and version of the update; the default if there is none.
    pub fn held_version(&self) -> HeldVersion {
        match &self.content {
            Content::Empty => HeldVersion::default(),
            Content::Full(update) => HeldVersion::new(update.token, update.sequence),
            Content::Table { table, .. } => HeldVersion::new(table.token(), table.version()),
        }
    }

    /// Whether the update is too old to be sent.
    pub fn is_old(&self, now: Micros) -> bool {
        now >= self.valid_since + MAX_UPDATE_AGE
    }

    /// Version of the table under this token, from which the next changes may start; 0 if there is
    /// none.
    pub fn version(&self, token: FencingToken) -> Version {
        match &self.content {
            Content::Table { table, .. } if table.token() == token => table.version(),
            _ => 0,
        }
    }

    /// Stores a full update if it is newer, or unconditionally if the injected bug disables the
    /// check. Returns whether it was stored.
    pub fn store_full(
        &mut self,
        valid_since: Micros,
        update: Update,
        injected_no_fence: bool,
    ) -> bool {
        let is_newer = HeldVersion::new(update.token, update.sequence) > self.held_version();
        let is_stored = is_newer || injected_no_fence;
        if is_stored {
            self.content = Content::Full(update);
            self.valid_since = valid_since;
        }
        is_stored
    }

    /// Applies changes of the table under this token. `sent_at` is the earliest time at which they
    /// were sent. A table of another token replaces the content. Returns whether the changes were
    /// applied.
    pub fn apply_changes(&mut self, sent_at: Micros, token: FencingToken, changes: &[u8]) -> bool {
        match &mut self.content {
            Content::Table {
                table,
                full_payload,
            } if table.token() == token => {
                if table.apply(sent_at, changes).is_err() {
                    return false;
                }
                *full_payload = None;
            }
            _ => {
                let mut table = Table::new(token);
                if table.apply(sent_at, changes).is_err() {
                    return false;
                }
                self.content = Content::Table {
                    table: Box::new(table),
                    full_payload: None,
                };
            }
        }
        self.valid_since = sent_at;
        true
    }

    /// The update for a relay that supports deliveries and has this version, and its approximate
    /// size in bytes.
    pub fn delivered(
        &mut self,
        now: Micros,
        job: &str,
        receiver_has: HeldVersion,
    ) -> (DeliveredUpdate, usize) {
        let held = self.held_version();
        let mut delivered = DeliveredUpdate {
            job: job.into(),
            token: held.token,
            age_ms: now.saturating_sub(self.valid_since).div_ceil(1_000),
            ..DeliveredUpdate::default()
        };
        let content_bytes = match &mut self.content {
            Content::Empty => {
                delivered.full = Some(ByteBuf::new());
                0
            }
            Content::Full(update) => {
                delivered.sequence = held.version;
                delivered.full = Some(ByteBuf::from(update.payload.clone()));
                update.payload.len()
            }
            Content::Table { table, .. } => {
                let from = if receiver_has.token == held.token {
                    receiver_has.version
                } else {
                    0
                };
                let changes = table.changes(from).to_vec();
                let length = changes.len();
                delivered.changes = Some(ByteBuf::from(changes));
                length
            }
        };
        (delivered, content_bytes + job.len())
    }

    /// The update for a relay of an older build.
    pub fn full_update(&mut self, now: Micros, job: &str) -> Update {
        let held = self.held_version();
        let payload = match &mut self.content {
            Content::Empty => Vec::new(),
            Content::Full(update) => update.payload.clone(),
            Content::Table {
                table,
                full_payload,
            } => full_payload
                .get_or_insert_with(|| LoadReports::of_table(table).encode())
                .clone(),
        };
        Update {
            job: job.into(),
            token: held.token,
            sequence: held.version,
            age: now.saturating_sub(self.valid_since),
            payload,
        }
    }
}
