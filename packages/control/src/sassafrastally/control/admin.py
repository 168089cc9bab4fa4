"""Admin queries of operators: each process answers for itself over the peer links."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple, cast

import trio

from sassafrastally.core import CodedError, Kernel, Registry, Service, error
from sassafrastally.core.json_documents import load_json
from sassafrastally.core.metrics_text import metrics_text
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import MAX_FRAME_BYTES, AdminCall, AdminReturn, Message

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.link import Peers, Stream

ASK_TIME_LIMIT_S = 3.0
"""Time limit for one process's reply; after it a suspended process is listed without a reply."""

MAX_REPLY_BYTES = MAX_FRAME_BYTES - 1024
"""Maximum size of a reply, which must fit in one frame."""

MAX_ALL_REPLY_BYTES = 8_000_000
"""Maximum size of the replies of all processes to one query. Decoded, they take several times as
much; the status of 1,840 processes has about half of it."""

MIN_SHARE_BYTES = 4_000
"""Share of these that each process gets at least; what exceeds all of them is left out."""

MAX_CONCURRENT_CALLS = 128
"""Number of processes that are asked at the same time. Each may reply with a full frame."""

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413

MAX_BYTES_FIELD = "max_bytes"
"""Field of a query's body: maximum size of the reply."""

ADMIN_METHODS: Registry[Callable[[Kernel, dict[str, Any]], Awaitable[dict[str, Any]]]] = Registry(
    "admin method"
)
"""Handlers of the admin methods that a process offers to its peers, by method name."""


@error(4901)
class AdminCallFailed(CodedError):
    """A process gave no usable reply to an admin query."""


class AdminAnswer(NamedTuple):
    """One process's reply to an admin query."""

    vm: str
    body: dict[str, Any] | None
    """``None`` if the process didn't reply."""
    problem: str = ""


class _ReplyBudget:
    """What is left of the size of all replies to a query."""

    def __init__(self, left_bytes: int) -> None:
        self._left_bytes = left_bytes

    def take(self, size_bytes: int) -> bool:
        """Count a reply; return whether it fits."""
        if size_bytes > self._left_bytes:
            return False
        self._left_bytes -= size_bytes
        return True


class AdminService(Service):
    """Answers admin queries and forwards them to other processes."""

    name: ClassVar[str] = "admin"
    needs: ClassVar[tuple[str, ...]] = ("peers",)

    def __init__(self) -> None:
        self._all_lock = trio.Lock()
        """Held while all processes are asked, so that one query's replies are held at a time."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Register the handler of admin calls from peers."""
        self._peers.on_stream(AdminCall, self._on_call)

    async def ask_here(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return this process's own reply; raises KeyError for an unknown method."""
        return await ADMIN_METHODS.get(method)(self.kernel, body)

    async def ask(self, state: VmState, method: str, body: dict[str, Any]) -> AdminAnswer:
        """Query one process; return its reply or the reason why there is none."""
        return await self._ask(state, method, body, _ReplyBudget(MAX_ALL_REPLY_BYTES))

    async def _ask(
        self, state: VmState, method: str, body: dict[str, Any], budget: _ReplyBudget
    ) -> AdminAnswer:
        if state.vm == self.kernel.vm:
            return AdminAnswer(state.vm, await self.ask_here(method, body))
        try:
            with trio.fail_after(ASK_TIME_LIMIT_S):
                link = await self._peers.link_to(state.vm, state.peer_address)
                reply = await link.call(AdminCall(method, json.dumps(body).encode()))
        except (LinkCut, LinkRefused, StreamEnded) as cause:
            return AdminAnswer(state.vm, None, cause.detail)
        except trio.TooSlowError:
            return AdminAnswer(state.vm, None, f"no answer within {ASK_TIME_LIMIT_S:g} s")
        if not isinstance(reply, AdminReturn) or reply.status != STATUS_OK:
            return AdminAnswer(state.vm, None, "the process refused the question")
        if not budget.take(len(reply.body)):
            return AdminAnswer(
                state.vm, None, "left out: the replies of all processes are too long"
            )
        try:
            return AdminAnswer(state.vm, _decode(reply.body))
        except ValueError as cause:
            return AdminAnswer(state.vm, None, str(cause))

    async def ask_all(
        self, states: Sequence[VmState], method: str, body: dict[str, Any]
    ) -> list[AdminAnswer]:
        """Query several processes concurrently; return the replies in the order of the states.

        Each process gets a share of the size of all replies, in the field ``max_bytes`` of the
        body. Replies beyond the size of all are left out.
        """
        answers: list[AdminAnswer | None] = [None] * len(states)
        share = max(MIN_SHARE_BYTES, MAX_ALL_REPLY_BYTES // max(1, len(states)))
        shared_body = {**body, MAX_BYTES_FIELD: min(share, MAX_REPLY_BYTES)}
        budget = _ReplyBudget(MAX_ALL_REPLY_BYTES)
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def ask_one(index: int) -> None:
            async with limiter:
                answers[index] = await self._ask(states[index], method, shared_body, budget)

        async with self._all_lock, trio.open_nursery() as nursery:
            for index in range(len(states)):
                nursery.start_soon(ask_one, index)
        return [answer for answer in answers if answer is not None]

    @property
    def _peers(self) -> Peers:
        return cast("Peers", self.kernel.get("peers", Service))

    async def _on_call(self, stream: Stream, message: Message) -> None:
        call = cast("AdminCall", message)
        if call.method not in ADMIN_METHODS:
            await stream.send(AdminReturn(STATUS_NOT_FOUND, b"{}"))
            return
        try:
            body = _decode(call.body or b"{}")
        except ValueError as cause:
            raise AdminCallFailed(f"body of {call.method}: {cause}") from cause
        data = json.dumps(await self.ask_here(call.method, body)).encode()
        if len(data) > MAX_REPLY_BYTES:
            await stream.send(AdminReturn(STATUS_TOO_LARGE, b"{}"))
            return
        await stream.send(AdminReturn(STATUS_OK, data))


def _decode(data: bytes) -> dict[str, Any]:
    try:
        body = load_json(data)
    except ValueError as cause:
        raise ValueError("not JSON") from cause
    if not isinstance(body, dict):
        raise ValueError("not a JSON object")
    return body


@ADMIN_METHODS.register("status")
async def answer_status(kernel: Kernel, _body: dict[str, Any]) -> dict[str, Any]:
    """Return the status of each service of this process."""
    return {
        "vm": kernel.vm,
        "data_centre": kernel.data_centre,
        "incarnation": kernel.incarnation,
        "services": {
            service.name: status for service in kernel.services() if (status := service.status())
        },
    }


@ADMIN_METHODS.register("metrics")
async def answer_metrics(_kernel: Kernel, _body: dict[str, Any]) -> dict[str, Any]:
    """Return the values of this process's metrics."""
    return {"text": metrics_text()}
