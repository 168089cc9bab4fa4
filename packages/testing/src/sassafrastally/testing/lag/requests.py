"""Requests as their callers see them: how they are sent, and what answers them."""

from __future__ import annotations

import secrets
from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import h11

from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.testing.lag.backend import answer_to

if TYPE_CHECKING:
    from sassafrastally.stand_ins.caller_requests import ReceivedResponse

EVENTS = 4
"""Events of a stream."""

PROMPT = f"1000,{EVENTS * 34}"


class Kind(Enum):
    """Kinds of requests."""

    LOOK = "look"
    """Idempotent."""
    BOOK = "book"
    """Runs once at most."""
    NOTE = "note"
    """A stream that may run again."""
    TALE = "tale"
    """A stream that runs once at most."""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of an engine."""
        return self in (Kind.NOTE, Kind.TALE)

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self in (Kind.LOOK, Kind.NOTE)


class Upload(NamedTuple):
    """How a request is handed over.

    Attributes
    ----------
    body_bytes
        Size of the body.
    pieces
        Number of pieces of the body.
    pause_s
        Pause before each piece.
    is_chunked
        Whether the body has chunks instead of a length.
    """

    body_bytes: int = 2
    pieces: int = 1
    pause_s: float = 0.0
    is_chunked: bool = False


PLAIN = Upload()


class CallerRequest(ABC):
    """A request before it is sent."""

    def __init__(self, kind: Kind, upload: Upload, time_left_s: float) -> None:
        self.kind = kind
        self.upload = upload
        self.time_left_s = time_left_s
        self.request_id = secrets.token_hex(8)

    @abstractmethod
    def is_answered_by(self, response: ReceivedResponse) -> bool:
        """Return whether a success is the server's whole answer to this request."""

    def is_broken_off(self, response: ReceivedResponse) -> bool:
        """Return whether a success says within its body that it isn't whole."""
        return not response.is_whole

    @abstractmethod
    def _method_and_target(self) -> tuple[str, str]: ...

    @abstractmethod
    def _fields(self) -> dict[str, str]: ...

    @abstractmethod
    def _body(self) -> bytes: ...

    def encode(self, http: h11.Connection) -> list[bytes]:
        """Return the header and the pieces of the body; all at once if they come without pause."""
        body = self._body()
        framing = {"Content-Length": str(len(body))}
        if self.upload.is_chunked:
            framing = {"Transfer-Encoding": "chunked"}
        method, target = self._method_and_target()
        fields = {**self._fields(), **framing}
        data = [_encode(http, h11.Request(method=method, target=target, headers=[*fields.items()]))]
        size_bytes = -(-len(body) // self.upload.pieces) or 1
        for begin in range(0, len(body), size_bytes):
            data.append(_encode(http, h11.Data(data=body[begin : begin + size_bytes])))
        data[-1] += _encode(http, h11.EndOfMessage())
        return data if self.upload.pause_s else [b"".join(data)]


class PlatformRequest(CallerRequest):
    """A request in the users' platform; its route has the name of its kind."""

    def is_answered_by(self, response: ReceivedResponse) -> bool:
        """Return whether a success is the server's whole answer to this request."""
        fields = response.headers
        if fields.get("attempt-id") != self.request_id or "replica-seal" not in fields:
            return False
        if self.kind.is_stream:
            ids = [line for line in response.body.split(b"\n") if line.startswith(b"id: ")]
            return ids == [b"id: %d" % number for number in range(EVENTS)]
        return response.body == answer_to(self.request_id, len(self._body()))

    def _method_and_target(self) -> tuple[str, str]:
        return "POST", f"/{self.kind.value}/x"

    def _fields(self) -> dict[str, str]:
        prompt = PROMPT if self.kind.is_stream else None
        return request_fields(
            prompt=prompt, request_id=self.request_id, time_left_s=self.time_left_s
        )

    def _body(self) -> bytes:
        return b"x" * self.upload.body_bytes


def _encode(http: h11.Connection, event: h11.Event) -> bytes:
    return http.send(event) or b""
