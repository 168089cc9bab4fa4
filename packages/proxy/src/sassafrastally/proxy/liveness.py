"""Whether anybody still listens at a backend server's address."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.http_stream import ConnectionLost, connect
from sassafrastally.proxy.pool import CONNECT_TIME_S

if TYPE_CHECKING:
    from sassafrastally.proxy.model import BackendServer

DROPPED_WITHIN_S = 0.02
"""How long a connection is watched for its end; a port that nobody serves resets it at once."""

BELIEVED_S = 0.1
"""How long a refused connection serves further questions: all requests that one crash breaks off
ask within some milliseconds. That somebody listens serves only those who ask meanwhile, since a
server that broke one answer off may crash the moment after."""

KEPT_FINDINGS = 256
"""Findings that are kept; more servers don't break off requests of one process in that time."""


class Finding(NamedTuple):
    """What a connection tried at a server's address showed."""

    is_listening: bool
    is_refused: bool
    """The host answers and no process has the port: the server's process has ended. Without
    either, the host is silent, which a cut link looks like as well."""
    detail: str
    is_dropped: bool = False
    """The connection was taken and ended at once: nobody serves behind the port, or a link resets
    what passes."""


class _Check:
    """A connection that is being tried, or has been."""

    def __init__(self, begin_s: float) -> None:
        self.begin_s = begin_s
        self.done = trio.Event()
        self.finding = Finding(False, False, "")

    def is_believed(self) -> bool:
        """Return whether it still answers who asks now."""
        if not self.done.is_set():
            return True
        return self.finding.is_refused and trio.current_time() - self.begin_s < BELIEVED_S


class Liveness:
    """Tries connections to servers that broke something off; one for all who ask at a time.

    Parameters
    ----------
    nursery
        Where connections are tried, so that a request that ends doesn't end the question.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._checks: dict[str, _Check] = {}

    async def find(self, server: BackendServer) -> Finding:
        """Return whether anybody listens at the server's address."""
        check = self._checks.get(server.life_id)
        if check is None or not check.is_believed():
            check = _Check(trio.current_time())
            self._checks.pop(server.life_id, None)
            self._checks[server.life_id] = check
            if len(self._checks) > KEPT_FINDINGS:
                del self._checks[next(iter(self._checks))]
            self._nursery.start_soon(self._try, server, check)
        await check.done.wait()
        return check.finding

    async def _try(self, server: BackendServer, check: _Check) -> None:
        try:
            stream = await connect(server.address, CONNECT_TIME_S)
            is_dropped = await _is_dropped(stream)
            await trio.aclose_forcefully(stream)
            check.finding = Finding(True, False, "", is_dropped)
        except ConnectionLost as cause:
            check.finding = Finding(False, cause.is_refused, cause.detail)
        finally:
            check.done.set()


async def _is_dropped(stream: trio.abc.Stream) -> bool:
    """Return whether the other side ends a connection on which nothing was sent."""
    with trio.move_on_after(DROPPED_WITHIN_S):
        try:
            return not await stream.receive_some(1)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return True
    return False
