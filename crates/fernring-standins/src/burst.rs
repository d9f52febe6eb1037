//! An open-loop load driver.
