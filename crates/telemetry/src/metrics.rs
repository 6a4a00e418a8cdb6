//! Metrics in the OpenMetrics text format.

use prometheus_client::registry::Registry;

/// Content type of the text that [`render`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Renders all metrics of a registry as OpenMetrics text.
///
/// # Errors
/// Fails when a metric cannot be formatted.
pub fn render(registry: &Registry) -> eyre::Result<String> {
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, registry)?;
    Ok(text)
}
