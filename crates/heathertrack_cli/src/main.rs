//! The operators' and callers' program.

fn main() {}
