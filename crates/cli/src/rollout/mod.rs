//! Bundle roll-outs: the conditional update of the configuration, its history and its acceptance by
//! the instances.

pub(crate) mod acceptance;
pub(crate) mod history;
pub(crate) mod update;

#[cfg(test)]
mod tests;
