//! Bodies of answers in the two formats of the OpenAI-style interface.

use berylknot_border::caller::Usage;
use berylknot_border::sse;
use serde_json::{Value, json};

use super::Question;
use crate::flow::Piece;

/// Format of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    /// Answer of /v1/completions.
    Completion,
    /// Answer of /v1/chat/completions.
    Chat,
}

/// Marks the end of a whole stream.
const DONE: &str = "[DONE]";

/// Server-sent events for a piece of an answer.
pub(super) fn event(request_id: &str, question: &Question, piece: &Piece) -> String {
    let mut output = String::new();
    match piece {
        Piece::Token(text) => {
            sse::encode(
                &chunk(request_id, question, text, None).to_string(),
                &mut output,
            );
        }
        Piece::Finished {
            finish_reason,
            usage,
        } => {
            let last = chunk(request_id, question, "", Some(finish_reason));
            sse::encode(&last.to_string(), &mut output);
            if question.include_usage {
                let mut report = chunk(request_id, question, "", None);
                report["choices"] = json!([]);
                report["usage"] = json!(usage);
                sse::encode(&report.to_string(), &mut output);
            }
            sse::encode(DONE, &mut output);
        }
        // A stream that fails has no end marker, so that it cannot be taken for a whole answer.
        Piece::Failed(refusal) => {
            sse::encode(&json!(refusal.body(request_id)).to_string(), &mut output);
        }
    }
    output
}

fn chunk(request_id: &str, question: &Question, text: &str, finish_reason: Option<&str>) -> Value {
    let (object, choice) = match question.format {
        Format::Completion => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        ),
        Format::Chat => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }),
        ),
    };
    json!({ "id": request_id, "object": object, "model": question.model, "choices": [choice] })
}

/// Body of a whole answer.
pub(super) fn whole(
    request_id: &str,
    question: &Question,
    text: &str,
    finish_reason: &str,
    usage: &Usage,
) -> Value {
    let (object, choice) = match question.format {
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
        "model": question.model,
        "choices": [choice],
        "usage": usage,
    })
}
