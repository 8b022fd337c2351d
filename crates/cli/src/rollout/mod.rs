//! Roll-outs: the conditional update of the configuration, its history, and its acceptance.

pub(crate) mod acceptance;
pub(crate) mod history;
pub(crate) mod update;

#[cfg(test)]
mod tests;
