//! The position of a record in the platform's store: the era of the store and an offset.
//!
//! A store that was restored from a backup assigns offsets again that it had assigned to other
//! records before, and those records are lost. Therefore each offset belongs to an era, and of two
//! positions the one of the later era is the later one, regardless of their offsets.

/// The position of a record in a topic of the store, or the position that the next record gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// How many times the store had been restored from a backup. Compared first.
    pub era: u64,
    /// The record's offset in the topic.
    pub offset: u64,
}

impl Position {
    /// Creates a position.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the next position of the same era.
    pub fn next(self) -> Self {
        Self { offset: self.offset + 1, ..self }
    }
}

impl From<u64> for Position {
    /// Returns a position in a store that was never restored from a backup.
    fn from(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.offset),
            era => write!(f, "{}@{era}", self.offset),
        }
    }
}
