"""What a stand-in sidecar does with an attempt, as scripts of a test, and how the request ends."""

from __future__ import annotations

from typing import Any

import trio

from sassafrastally.serving.refusals import Refusal
from sassafrastally.wire.messages import Refused, Reserve, Reserved

THREE_EVENTS = b'data: {"w":"ha"}\n\ndata: {"w":"ho"}\n\ndata: {"w":"hi"}\n\n'
"""The whole answer of a stand-in sidecar."""


def own_of(message: Any) -> tuple[str, int]:
    """Return the request and the attempt that a message names."""
    return message.request_id, message.attempt


def refusing(code: str, **figures: Any) -> Any:
    """Return a script that refuses the reservation."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await end.send(Refused(*own_of(reserve), code, **figures))

    return script


async def cut_before_commit(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Cut the link before anything is reserved."""
    end.cut()


async def cut_instead_of_commit(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Cut the link so that the commit never arrives, though the entry has sent it."""
    await end.send(Reserved(*own_of(reserve), sidecar.incarnation, 0.1, 0.5, 5.0))
    await end.receive()
    end.cut()


async def cut_after_commit(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Cut the link once the attempt is committed."""
    await sidecar.accept(end, reserve)
    end.cut()


async def cut_after_two(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Cut the link after two chunks of the answer."""
    await sidecar.accept(end, reserve)
    sidecar.ran.append(own_of(reserve))
    await end.send(*sidecar.chunks(own_of(reserve), sidecar.words[:2]))
    await trio.sleep(0.01)
    end.cut()


async def hang(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Commit the attempt and answer nothing."""
    await sidecar.accept(end, reserve)
    await end.receive()


async def silent(sidecar: Any, end: Any, message: Any) -> None:
    """Say nothing at all."""
    await end.receive()


def sending(*make: Any) -> Any:
    """Return a script that commits the attempt and sends what each function makes."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await sidecar.accept(end, reserve)
        sidecar.ran.append(own_of(reserve))
        own = own_of(reserve)
        for one in make:
            await end.send(*one(sidecar, own))
        await trio.sleep(1)

    return script


async def refusal_of(world: Any, request: Any) -> Refusal:
    """Return the refusal that a request ends with."""
    try:
        await world.ask(request)
    except Refusal as refusal:
        return refusal
    raise AssertionError("the request was answered")


def silent_for(silence_s: float) -> Any:
    """Return a script of a sound sidecar that says nothing for a while and then goes on.

    What came meanwhile is still unread; a cancellation among it takes the reservation back."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await trio.sleep(silence_s)
        await sidecar.behave(end, reserve)

    return script
