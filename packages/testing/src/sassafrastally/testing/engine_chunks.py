"""The JSON of an answer in the published completion forms."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from sassafrastally.testing.engine_prompt import answer_text

if TYPE_CHECKING:
    from sassafrastally.sidecar.engine import EngineUsage
    from sassafrastally.testing.engine_run import Tokens

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


class AnswerForm(NamedTuple):
    """How one answer is written."""

    stream_id: str
    model: str
    seed: int
    """Seed of the prompt, from which the words follow."""
    is_chat: bool

    def chunk(self, tokens: Tokens, usage: EngineUsage | None = None) -> dict[str, Any]:
        """Return the JSON of a streamed piece; the last one carries the finish reason."""
        text = answer_text(self.seed, tokens.first, tokens.tokens)
        choice: dict[str, Any] = {"index": 0}
        if self.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = usage.finish_reason if usage else None
        return self._document([choice], ".chunk" if self.is_chat else "")

    def usage_chunk(self, usage: EngineUsage) -> dict[str, Any]:
        """Return the JSON of the last event, which has the usage and no text."""
        document = self._document([], ".chunk" if self.is_chat else "")
        document["usage"] = usage_document(usage)
        return document

    def whole(self, tokens: Tokens, usage: EngineUsage) -> dict[str, Any]:
        """Return the JSON of an answer that isn't streamed."""
        text = answer_text(self.seed, tokens.first, tokens.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": usage.finish_reason}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        document = self._document([choice], "")
        document["usage"] = usage_document(usage)
        return document

    def error(self, reason: str) -> dict[str, Any]:
        """Return the JSON of a run that broke off."""
        return {"id": self.stream_id, "error": {"message": reason, "type": "failed"}}

    def _document(self, choices: list[dict[str, Any]], suffix: str) -> dict[str, Any]:
        kind = f"chat.completion{suffix}" if self.is_chat else "text_completion"
        return {"id": self.stream_id, "object": kind, "model": self.model, "choices": choices}


def usage_document(usage: EngineUsage) -> dict[str, Any]:
    """Return the usage in its published form."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def compact_json(document: dict[str, Any]) -> bytes:
    """Return a document as JSON without white space."""
    return json.dumps(document, separators=(",", ":")).encode()
