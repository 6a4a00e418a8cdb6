//! Response bodies of the OpenAI-compatible API.

use berylknot_border::caller::Usage;
use berylknot_border::sse;
use serde_json::{Value, json};

use super::Parameters;
use crate::flow::Chunk;

/// Response format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    /// Format of /v1/completions.
    Completion,
    /// Format of /v1/chat/completions.
    Chat,
}

/// Data of the event that ends a complete stream.
const END_MARKER: &str = "[DONE]";

/// Encodes a chunk as server-sent events.
pub(super) fn encode(request_id: &str, parameters: &Parameters, chunk: &Chunk) -> String {
    let mut output = String::new();
    match chunk {
        Chunk::Token(text) => {
            sse::encode(
                &chunk_body(request_id, parameters, text, None).to_string(),
                &mut output,
            );
        }
        Chunk::Finished {
            finish_reason,
            usage,
        } => {
            let last = chunk_body(request_id, parameters, "", Some(finish_reason));
            sse::encode(&last.to_string(), &mut output);
            if parameters.include_usage {
                let mut usage_chunk = chunk_body(request_id, parameters, "", None);
                usage_chunk["choices"] = json!([]);
                usage_chunk["usage"] = json!(usage);
                sse::encode(&usage_chunk.to_string(), &mut output);
            }
            sse::encode(END_MARKER, &mut output);
        }
        // A failed stream has no end marker, so that clients do not take it for complete.
        Chunk::Failed(refusal) => {
            sse::encode(&json!(refusal.body(request_id)).to_string(), &mut output);
        }
    }
    output
}

fn chunk_body(
    request_id: &str,
    parameters: &Parameters,
    text: &str,
    finish_reason: Option<&str>,
) -> Value {
    let (object, choice) = match parameters.format {
        Format::Completion => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        ),
        Format::Chat => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }),
        ),
    };
    json!({ "id": request_id, "object": object, "model": parameters.model, "choices": [choice] })
}

/// Body of a non-streaming response.
pub(super) fn complete(
    request_id: &str,
    parameters: &Parameters,
    text: &str,
    finish_reason: &str,
    usage: &Usage,
) -> Value {
    let (object, choice) = match parameters.format {
        Format::Completion => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        ),
        Format::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
        ),
    };
    json!({
        "id": request_id,
        "object": object,
        "model": parameters.model,
        "choices": [choice],
        "usage": usage,
    })
}
