"""Decoding the records of servers ahead of their use."""

from __future__ import annotations

import pytest

from sassafrastally.core import KvEntry, KvEvent
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.server_decoder import ServerDecoder


class CountingDialect:
    """Counts the decoded records; those that begin with a question mark are invalid."""

    def __init__(self) -> None:
        self.decoded: list[str] = []

    def decode_server(self, key: str, value: bytes) -> str:
        self.decoded.append(key)
        if value.startswith(b"?"):
            raise DocumentInvalid("a question")
        return f"{key} {value.decode()}"


class TestServerDecoder:
    """Guards against long steps for many records, and against servers of other documents."""

    async def test_record_is_decoded_once(self):
        dialect = CountingDialect()
        decoder = ServerDecoder(dialect)
        await decoder.decode_ahead([KvEntry("a", b"1", 1), KvEvent("b", None, 2)])
        assert decoder.decode("a", b"1") == "a 1"
        assert dialect.decoded == ["a"]

    async def test_other_document_is_decoded_when_used(self):
        decoder = ServerDecoder(CountingDialect())
        await decoder.decode_ahead([KvEntry("a", b"1", 1)])
        assert decoder.decode("a", b"2") == "a 2"
        assert decoder.decode("b", b"1") == "b 1"

    async def test_invalid_record_is_rejected_when_used(self):
        decoder = ServerDecoder(CountingDialect())
        await decoder.decode_ahead([KvEntry("a", b"?", 1), KvEntry("b", b"1", 2)])
        with pytest.raises(DocumentInvalid):
            decoder.decode("a", b"?")
        assert decoder.decode("b", b"1") == "b 1"

    async def test_nothing_is_kept_after_use(self):
        dialect = CountingDialect()
        decoder = ServerDecoder(dialect)
        await decoder.decode_ahead([KvEntry("a", b"1", 1)])
        decoder.forget_decoded()
        decoder.decode("a", b"1")
        assert dialect.decoded == ["a", "a"]
