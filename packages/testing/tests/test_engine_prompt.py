"""Bodies that the stand-in engine reads."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sassafrastally.testing.engine_prompt import parse_prompt


class TestParsePrompt:
    def test_field_of_another_kind_of_call_is_ignored(self) -> None:
        """Guards against a stand-in that ends its deployment at a completion with "messages": null,
        which an entry passes on: fuzz tests find such a body, or not, by the modules loaded."""
        body = {"prompt": "A wall.", "messages": None, "max_tokens": 4}
        assert parse_prompt(json.dumps(body).encode()).text == b"A wall."

    @pytest.mark.parametrize(
        "body", [{}, {"messages": None}, {"messages": [None]}, {"prompt": None}, {"prompt": 1}]
    )
    def test_body_without_text_is_refused(self, body: dict[str, Any]) -> None:
        with pytest.raises(ValueError, match=r"prompt|messages"):
            parse_prompt(json.dumps(body).encode())
