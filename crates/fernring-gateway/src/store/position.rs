//! Where a record lies in the platform's store: which life of the store, and its number there.
//!
//! A store that came back from a copy gives numbers out again that it had given out before, to other records, and what
//! those held is gone. So each number belongs to an era, and of two positions that of the later era is the later one,
//! whatever the numbers say.

/// The position of a record in a topic of the store, or the one that the next record gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// How often the store had come back from a copy. Compared first.
    pub era: u64,
    /// Its number in the topic.
    pub offset: u64,
}

impl Position {
    /// Returns a position.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position after this one.
    pub fn next(self) -> Self {
        Self { offset: self.offset + 1, ..self }
    }
}

impl From<u64> for Position {
    /// Returns a position in a store that has never come back from a copy.
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
