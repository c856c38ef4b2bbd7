//! The newest update of one job at a voter: a table, or a whole update as owners of older builds publish it.

use super::message::Delivered;
use super::stream::HeldVersion;
use super::table::{Table, Version};
use crate::jobs::assignment::FencingToken;
use crate::jobs::load_watch::LoadReports;
use crate::wire::message::Update;
use crate::Micros;
use serde_bytes::ByteBuf;

/// An update older than that is not handed on: whoever could use it asks for itself.
const OLD: Micros = 30_000_000;

/// See the module's text.
#[derive(Default)]
pub struct Channel {
    content: Content,
    /// When it was true, at the earliest, by this voter's clock.
    at: Micros,
}

#[derive(Default)]
enum Content {
    #[default]
    Nothing,
    Whole(Update),
    /// A table, and the same as a whole update's text once somebody needed that.
    Table(Box<Table>, Option<Vec<u8>>),
}

impl Channel {
    /// The token of the owner whose update it is.
    pub fn token(&self) -> FencingToken {
        self.have().0
    }

    /// Token and number of the update.
    pub fn have(&self) -> HeldVersion {
        match &self.content {
            Content::Nothing => (0, 0),
            Content::Whole(update) => (update.token, update.sequence),
            Content::Table(table, _) => (table.token(), table.version()),
        }
    }

    /// Whether it is too old to be handed on.
    pub fn is_old(&self, now: Micros) -> bool {
        now >= self.at + OLD
    }

    /// The version of the table under this token that changes can start from; zero where there is none.
    pub fn version(&self, token: FencingToken) -> Version {
        match &self.content {
            Content::Table(table, _) if table.token() == token => table.version(),
            _ => 0,
        }
    }

    /// Takes a whole update, where it is newer, or whatever it is; whether it was taken.
    pub fn take_whole(&mut self, at: Micros, update: Update, whatever: bool) -> bool {
        let newer = (update.token, update.sequence) > self.have();
        if newer || whatever {
            (self.content, self.at) = (Content::Whole(update), at);
        }
        newer || whatever
    }

    /// Takes changes of the table under a token that were sent then at the earliest; whether they were taken.
    pub fn take_changes(&mut self, sent: Micros, token: FencingToken, changes: &[u8]) -> bool {
        let same = matches!(&self.content, Content::Table(table, _) if table.token() == token);
        if !same {
            let mut table = Table::new(token);
            let taken = table.apply(sent, changes).is_ok();
            if taken {
                (self.content, self.at) = (Content::Table(Box::new(table), None), sent);
            }
            return taken;
        }
        let Content::Table(table, whole) = &mut self.content else {
            return false;
        };
        let taken = table.apply(sent, changes).is_ok();
        if taken {
            (*whole, self.at) = (None, sent);
        }
        taken
    }

    /// What a relay that takes deliveries is told, which has so much; and about how many bytes that is.
    pub fn delivered(&mut self, now: Micros, job: &str, has: HeldVersion) -> (Delivered, usize) {
        let (token, number) = self.have();
        let age = now.saturating_sub(self.at).div_ceil(1_000);
        let mut delivered = Delivered {
            job: job.into(),
            token,
            age_ms: age,
            ..Delivered::default()
        };
        let bytes = match &mut self.content {
            Content::Nothing => Vec::new(),
            Content::Whole(update) => {
                delivered.sequence = number;
                update.payload.clone()
            }
            Content::Table(table, _) => {
                let from = if has.0 == token { has.1 } else { 0 };
                table.changes(from).to_vec()
            }
        };
        let size = bytes.len() + job.len();
        if matches!(self.content, Content::Table(..)) {
            delivered.changes = Some(ByteBuf::from(bytes));
        } else {
            delivered.full = Some(ByteBuf::from(bytes));
        }
        (delivered, size)
    }

    /// What a relay of an older build is told.
    pub fn whole(&mut self, now: Micros, job: &str) -> Update {
        let (token, number) = self.have();
        let age = now.saturating_sub(self.at);
        let body = match &mut self.content {
            Content::Nothing => Vec::new(),
            Content::Whole(update) => update.payload.clone(),
            Content::Table(table, whole) => whole
                .get_or_insert_with(|| LoadReports::of_table(table).encode())
                .clone(),
        };
        Update {
            job: job.into(),
            token,
            sequence: number,
            age,
            payload: body,
        }
    }
}
