//! Parses the events of an engine's stream, as far as leadstage needs them: the text and the finish reason.

use serde::Deserialize;

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

fn first_choice(data: &str) -> Option<Choice> {
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    chunk.choices.into_iter().next()
}

/// Whether an event carries the finish reason and so is the last one.
pub fn is_last(data: &str) -> bool {
    first_choice(data).is_some_and(|choice| choice.finish_reason.is_some())
}

/// Returns the text of an event, and its finish reason if it has one.
pub fn text_of(data: &str) -> (String, Option<String>) {
    let Some(choice) = first_choice(data) else {
        return Default::default();
    };
    (choice.delta.content.unwrap_or(choice.text), choice.finish_reason)
}
