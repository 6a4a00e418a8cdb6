//! Acceptance.
