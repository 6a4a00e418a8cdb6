//! How the end of an answer is recognised.

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// A length or a last chunk; without it, the end of the connection is an error.
    Stated,
    /// The end of the connection, which the kernel closes in the same way when a process dies.
    Connection,
}
