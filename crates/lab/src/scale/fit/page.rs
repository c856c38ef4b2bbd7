//! The part of a page that is written from results, between two markers.

use crate::scale::error::ScaleError;
use std::path::Path;

/// Stands before the part.
pub const BEGIN: &str = "<!-- scale fit: begin -->";
/// Stands behind the part.
pub const END: &str = "<!-- scale fit: end -->";

/// A page and where its part is.
pub struct Page<'a> {
    file: &'a Path,
    text: String,
    begin: usize,
    end: usize,
}

impl<'a> Page<'a> {
    /// Reads a page, which must have the two markers once each.
    pub fn read(file: &'a Path) -> Result<Page<'a>, ScaleError> {
        let error = |what: String| ScaleError::File {
            file: file.into(),
            line: None,
            what,
        };
        let text =
            std::fs::read_to_string(file).map_err(|e| error(format!("cannot be read: {e}")))?;
        let find = |marker: &str| {
            let mut places = text.match_indices(marker).map(|(at, _)| at);
            match (places.next(), places.next()) {
                (Some(at), None) => Ok(at),
                (None, _) => Err(error(format!("has no line '{marker}'"))),
                (Some(_), Some(_)) => Err(error(format!("has '{marker}' more than once"))),
            }
        };
        let (begin, end) = (find(BEGIN)? + BEGIN.len(), find(END)?);
        if end < begin {
            return Err(error(format!("has '{END}' before '{BEGIN}'")));
        }
        Ok(Page {
            file,
            text,
            begin,
            end,
        })
    }

    /// Whether the part is this text.
    pub fn is(&self, part: &str) -> bool {
        self.text[self.begin..self.end] == framed(part)
    }

    /// Puts this text in place of the part.
    pub fn replace(&self, part: &str) -> Result<(), ScaleError> {
        let text = [
            &self.text[..self.begin],
            &framed(part),
            &self.text[self.end..],
        ]
        .concat();
        std::fs::write(self.file, text).map_err(|e| ScaleError::File {
            file: self.file.into(),
            line: None,
            what: format!("cannot be written: {e}"),
        })
    }
}

fn framed(part: &str) -> String {
    format!("\n\n{}\n\n", part.trim())
}
