"""One member of a span, seen from the entry: a segment that is reserved, computed and held."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import CodedError, error, require_time, time_limit
from sassafrastally.serving.spans import decode_done, handle_of
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import (
    MAX_CHUNK_BYTES,
    Attach,
    Cancel,
    Chunk,
    Commit,
    End,
    Refused,
    Reserve,
    Reserved,
)
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from types import TracebackType

    from sassafrastally.core import Address
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.serving.spans import Segment, SegmentDone
    from sassafrastally.wire.link import Peers, Stream
    from sassafrastally.wire.messages import Message

REJOIN_LIMIT_S = 1.0
"""How long to try to reattach to a member after a lost link. Shorter than the grace period of the
sidecars, so that a released segment is never assumed to be held."""

REJOIN_PAUSE_S = 0.05

CANCEL_LIMIT_S = 1.0
"""Time limit of the shielded call that cancels a segment."""

_LINK_ERRORS = (LinkCut, LinkRefused, StreamEnded, TooManyStreams)


@error(6002)
class SpanBroken(CodedError):
    """A segment of a span was lost, so the span can't continue."""


class Imports(NamedTuple):
    """The KV cache exports that a segment builds on, in prompt order."""

    handles: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()

    def with_member(self, member: Member) -> Imports:
        """Return the imports extended by the export of one more member."""
        return Imports(
            (*self.handles, member.handle),
            (*self.sources, member.engine_address),
            (*self.tokens, member.segment.tokens),
        )


class SegmentPlacement(NamedTuple):
    """The attempt that computes a segment, and its sidecar."""

    request_id: str
    number: int
    """Attempt number; unique for each member of each try."""
    vm: str
    address: Address
    generation: int
    reserve_timeout_s: float


class Member:
    """A segment on one engine; leaving its context releases the segment.

    Parameters
    ----------
    peers
        The links of the process.
    place
        The attempt and its sidecar.
    segment
        The part of the prompt to compute.
    request
        The request.
    """

    def __init__(
        self, peers: Peers, place: SegmentPlacement, segment: Segment, request: CallerRequest
    ) -> None:
        self.place = place
        self.segment = segment
        self.handle = handle_of(place.request_id, place.number)
        self.engine_address = ""
        """Address from which other engines fetch the export; set by `reserve`."""
        self._peers = peers
        self._request = request
        self._incarnation = ""
        self._is_committed = False
        self._is_over = False
        self._chunks = 0
        self._streams = AsyncExitStack()
        self._stream: Stream | None = None

    async def __aenter__(self) -> Member:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.give_up()
        await self._streams.aclose()

    async def reserve(self, starts_in_s: float, imports: Imports) -> Reserved | Refused | None:
        """Reserve memory for the segment; return ``None`` if the sidecar isn't reached."""
        answered: Reserved | Refused | None = None
        try:
            async with time_limit(trio.current_time() + self.place.reserve_timeout_s) as limit:
                stream = await self._open()
                await limit.require_time()
                await stream.send(self._reserve_message(starts_in_s, imports))
                answered = await self._receive_reserved(stream)
        except _LINK_ERRORS:
            return None
        if isinstance(answered, Reserved):
            self._incarnation = answered.incarnation
            self.engine_address = answered.engine_address
        elif isinstance(answered, Refused):
            self._is_over = True
        return answered

    async def compute(self) -> SegmentDone:
        """Commit the segment and wait until it is exported.

        Raises
        ------
        SpanBroken
            If the segment fails.
        """
        await require_time(self._request.deadline_s)
        self._is_committed = True
        place = self.place
        cause: SpanBroken | None = None
        async with trio.open_nursery() as nursery:
            try:
                assert self._stream is not None
                limit_s = self._time_left_s()
                await self._stream.send(
                    Commit(place.request_id, place.number, self._incarnation, limit_s)
                )
                nursery.start_soon(self._send_body, self._stream)
                done = await self._receive_done()
            except _LINK_ERRORS as lost:
                cause = self._span_broken(lost.detail)
            except SpanBroken as broken:
                # Raised outside the nursery, which would wrap it in an exception group.
                cause = broken
            nursery.cancel_scope.cancel()
        if cause is not None:
            raise cause
        return done

    async def watch(self) -> None:
        """Wait while the export is held.

        Raises
        ------
        SpanBroken
            If it is no longer held, or that can't be determined.
        """
        while True:
            await self._receive()

    async def give_up(self) -> None:
        """Tell the sidecar to free the segment, unless it is already over."""
        if self._is_over or self._stream is None:
            return
        self._is_over = True
        cancel = Cancel(self.place.request_id, self.place.number, "the span is over")
        is_ending = trio.current_effective_deadline() == float("-inf")
        with trio.move_on_after(CANCEL_LIMIT_S, shield=True):
            try:
                await self._stream.send(cancel)
            except (LinkCut, StreamEnded):
                if not is_ending:
                    await self._cancel_on_new_stream(cancel)

    async def _cancel_on_new_stream(self, cancel: Cancel) -> None:
        try:
            link = await self._peers.link_to(self.place.vm, self.place.address)
            await link.call(cancel)
        except _LINK_ERRORS:
            return  # The sidecar frees the segment after its grace period.

    async def _open(self) -> Stream:
        link = await self._peers.link_to(self.place.vm, self.place.address)
        self._stream = await self._streams.enter_async_context(link.open_stream())
        return self._stream

    async def _receive_reserved(self, stream: Stream) -> Reserved | Refused:
        while True:
            message = await stream.receive()
            if isinstance(message, Reserved | Refused) and message[:2] == self._key:
                return message

    async def _receive_done(self) -> SegmentDone:
        while True:
            message = await self._receive()
            if isinstance(message, Chunk) and message[:3] == (*self._key, 0):
                self._chunks = 1
                try:
                    return decode_done(message.data)
                except ValueError as cause:
                    raise self._span_broken(f"announced as {cause}") from cause

    async def _receive(self) -> Message:
        """Return the next message; reattach if the link is lost."""
        while True:
            assert self._stream is not None
            try:
                message = await self._stream.receive()
            except (LinkCut, StreamEnded) as cause:
                if not await self._rejoin():
                    raise self._span_broken(cause.detail) from cause
                continue
            if isinstance(message, End | Refused) and message[:2] == self._key:
                self._is_over = True
                raise self._span_broken(f"{message.code} {message.detail}".strip())
            return message

    async def _rejoin(self) -> bool:
        attach = Attach(*self._key, self._incarnation, self._chunks, self._time_left_s())
        async with time_limit(trio.current_time() + REJOIN_LIMIT_S):
            while True:
                try:
                    stream = await self._open()
                    await stream.send(attach)
                    return True
                except _LINK_ERRORS:
                    await trio.sleep(REJOIN_PAUSE_S)
        return False

    async def _send_body(self, stream: Stream) -> None:
        body = self._request.body
        try:
            for sequence, start in enumerate(range(0, len(body), MAX_CHUNK_BYTES)):
                part = body[start : start + MAX_CHUNK_BYTES]
                await stream.send(Chunk(*self._key, sequence, 0, part))
        except (LinkCut, StreamEnded):
            return  # The reader of the same stream gets the same error and handles it.

    def _span_broken(self, detail: str) -> SpanBroken:
        return SpanBroken(f"segment on {self.place.vm}: {detail}")

    @property
    def _key(self) -> tuple[str, int]:
        return self.place.request_id, self.place.number

    def _time_left_s(self) -> float:
        return max(0.0, self._request.deadline_s - trio.current_time())

    def _reserve_message(self, starts_in_s: float, imports: Imports) -> Reserve:
        request = self._request
        return segment_reserve(
            Reserve(
                request_id=self.place.request_id,
                attempt=self.place.number,
                model=request.model,
                customer=request.customer.name,
                time_limit_s=self._time_left_s(),
                # Computing a segment has no visible effect and can be repeated. Only the run on
                # the leader executes the request.
                idempotent=True,
                priority=request.customer.priority,
                body_size_bytes=len(request.body),
                generation=self.place.generation,
                operation=request.operation,
            ),
            self.segment,
            starts_in_s,
            imports,
        )


def segment_reserve(
    reserve: Reserve, segment: Segment, starts_in_s: float, imports: Imports
) -> Reserve:
    """Return the reservation restricted to one segment of the prompt."""
    return reserve._replace(
        prompt_tokens=segment.end_tokens,
        segment_tokens=segment.tokens,
        starts_in_s=starts_in_s,
        import_handles=imports.handles,
        import_sources=imports.sources,
        import_tokens=imports.tokens,
    )
