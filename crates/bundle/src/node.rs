use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;

/// A YAML value of any type, with the source location of each nested value.
#[derive(Debug)]
pub(crate) enum Node {
    /// A quoted or plain string.
    String(String),
    /// An unquoted scalar that YAML parses as a number, Boolean or null. Its text is taken from the
    /// source, because a record key such as `0000000000000010` or a name such as `1e3` must not be
    /// converted to a number.
    NonString,
    /// A sequence.
    Sequence(Vec<Spanned<Node>>),
    /// A mapping.
    Mapping(Vec<(Spanned<String>, Spanned<Node>)>),
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Node, D::Error> {
        de.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_str<E>(self, text: &str) -> Result<Node, E> {
        Ok(Node::String(text.to_owned()))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_i128<E>(self, _: i128) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_u128<E>(self, _: u128) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::NonString)
    }

    fn visit_some<D: Deserializer<'de>>(self, de: D) -> Result<Node, D::Error> {
        Node::deserialize(de)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Mapping(entries))
    }
}
