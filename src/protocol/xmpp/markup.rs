//! Counts the elements and attributes of a stream as its bytes arrive, also those of a start tag
//! that is not complete. Guards against input that costs far more memory than its bytes: an element
//! of four bytes takes some 150 once it is kept, and the parser keeps all attributes of a start tag
//! until the tag ends.
//!
//! It sees only bytes that the parser has accepted, so it need not check them.

/// What the last byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Text between two tags.
    Text,
    /// The `<` of a tag.
    TagStart,
    /// A tag, outside attribute values.
    Tag,
    /// An attribute value that ends with this quote.
    Value(u8),
    /// A CDATA section, after so many `]` at its end.
    Cdata(u8),
}

/// Counts elements and attributes.
#[derive(Debug)]
pub(super) struct MarkupCounter {
    place: Place,
    /// Elements and attributes since the last call of [`MarkupCounter::begin_unit`], namespace
    /// declarations included.
    parts: usize,
    /// Attributes of the present tag, namespace declarations included.
    attributes_of_tag: usize,
}

impl MarkupCounter {
    /// A counter at the beginning of a stream.
    pub(super) fn new() -> MarkupCounter {
        MarkupCounter {
            place: Place::Text,
            parts: 0,
            attributes_of_tag: 0,
        }
    }

    /// Reads the next bytes of the stream.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.place = self.next_place(byte);
        }
    }

    fn next_place(&mut self, byte: u8) -> Place {
        match (self.place, byte) {
            (Place::Text, b'<') => Place::TagStart,
            (Place::Text, _) => Place::Text,
            (Place::TagStart, b'!') => Place::Cdata(0),
            (Place::TagStart, b'/') => Place::Tag,
            (Place::TagStart, _) => {
                (self.parts, self.attributes_of_tag) = (self.parts + 1, 0);
                Place::Tag
            }
            (Place::Tag, b'>') => Place::Text,
            (Place::Tag, b'\'' | b'"') => Place::Value(byte),
            (Place::Tag, b'=') => {
                self.parts += 1;
                self.attributes_of_tag += 1;
                Place::Tag
            }
            (Place::Tag, _) => Place::Tag,
            (Place::Value(quote), _) if byte == quote => Place::Tag,
            (Place::Value(quote), _) => Place::Value(quote),
            (Place::Cdata(2), b'>') => Place::Text,
            (Place::Cdata(brackets), b']') => Place::Cdata(2.min(brackets + 1)),
            (Place::Cdata(_), _) => Place::Cdata(0),
        }
    }

    /// Elements and attributes of the present unit so far.
    pub(super) fn parts(&self) -> usize {
        self.parts
    }

    /// Attributes of the present tag so far.
    pub(super) fn attributes_of_tag(&self) -> usize {
        self.attributes_of_tag
    }

    /// Begins to count anew, for the next unit.
    pub(super) fn begin_unit(&mut self) {
        self.parts = 0;
    }
}

#[cfg(test)]
mod tests;
