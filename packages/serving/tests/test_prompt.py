"""Tests of prompt estimates."""

from __future__ import annotations

from sassafrastally.serving.prefix import PREFIX_BLOCK_BYTES
from sassafrastally.serving.prompt import shape_of_text, shape_of_tokens


class TestShape:
    def test_text_is_estimated_by_its_bytes(self) -> None:
        assert shape_of_text("yeso").tokens == 1
        assert shape_of_text("caña").tokens == 2
        assert not shape_of_text("yeso").is_exact

    def test_token_ids_are_counted(self) -> None:
        shape = shape_of_tokens(range(700))
        assert (shape.tokens, shape.is_exact, len(shape.prefix_hashes)) == (700, True, 1)

    def test_equal_prefixes_share_hashes(self) -> None:
        common = "a" * (2 * PREFIX_BLOCK_BYTES)
        one, other = shape_of_text(common + "b" * 3_000), shape_of_text(common + "c" * 3_000)
        assert one.prefix_hashes[:2] == other.prefix_hashes[:2]
        assert one.prefix_hashes[2] != other.prefix_hashes[2]
