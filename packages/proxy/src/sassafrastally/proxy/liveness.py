"""Probes whether a backend server's address still accepts connections."""

from __future__ import annotations

from contextlib import nullcontext
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.connection_pool import CONNECT_TIME_S
from sassafrastally.proxy.cpu_overload import read_until
from sassafrastally.proxy.http_stream import ConnectionLost, connect

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from sassafrastally.proxy.model import BackendServer

DROPPED_WITHIN_S = 0.02
"""How long an idle connection is watched for being closed; a port that no process serves resets it
at once."""

REFUSAL_REUSED_S = 0.1
"""How long a refused connection is reused as the result of further probes: all requests that one
crash breaks off probe within a few milliseconds. A successful connection is shared only with probes
made while it is in progress, since a server that broke off one answer may crash right after."""

MAX_CACHED_FINDINGS = 256
"""Maximum number of cached findings; no more servers break off requests of one process within the
cache time."""


class Finding(NamedTuple):
    """Result of a connection attempt to a server's address."""

    is_listening: bool
    is_refused: bool
    """The host responds but no process has the port, so the server's process has ended. If neither
    flag is set, the host doesn't respond, as with a cut link."""
    detail: str
    is_dropped: bool = False
    """The connection was accepted and closed at once: no process serves the port, or the link
    resets connections."""


UNKNOWN = Finding(is_listening=True, is_refused=False, detail="not probed: evacuated")
"""Finding without a connection, from which nothing is concluded."""


class _Probe:
    """A connection attempt, in progress or done."""

    def __init__(self, begin_s: float) -> None:
        self.begin_s = begin_s
        self.done = trio.Event()
        self.finding = Finding(False, False, "")

    def is_reusable(self) -> bool:
        """Return whether its finding can be used for a probe made now."""
        if not self.done.is_set():
            return True
        return self.finding.is_refused and trio.current_time() - self.begin_s < REFUSAL_REUSED_S


class Liveness:
    """Probes servers that broke off an answer; concurrent probes share one connection.

    Parameters
    ----------
    nursery
        Where connections are made, so that a request that ends doesn't cancel a shared probe.
    is_evacuated
        Returns whether a data centre is evacuated; its servers aren't probed.
    containment
        Ends a probe at an unexpected error.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        is_evacuated: Callable[[str], bool] = lambda _: False,
        containment: AbstractContextManager[None, bool | None] | None = None,
    ) -> None:
        self._nursery = nursery
        self._is_evacuated = is_evacuated
        self._containment = containment or nullcontext()
        self._probes: dict[str, _Probe] = {}

    async def find(self, server: BackendServer) -> Finding:
        """Probe a server's address, or return the finding of a recent or running probe."""
        if self._is_evacuated(server.data_centre):
            return UNKNOWN
        probe = self._probes.get(server.incarnation_id)
        if probe is None or not probe.is_reusable():
            probe = _Probe(trio.current_time())
            self._probes.pop(server.incarnation_id, None)
            self._probes[server.incarnation_id] = probe
            if len(self._probes) > MAX_CACHED_FINDINGS:
                del self._probes[next(iter(self._probes))]
            self._nursery.start_soon(self._try, server, probe)
        await probe.done.wait()
        return probe.finding

    async def _try(self, server: BackendServer, probe: _Probe) -> None:
        with self._containment:
            try:
                stream = await connect(server.address, CONNECT_TIME_S)
                is_dropped = await _is_dropped(stream)
                await trio.aclose_forcefully(stream)
                probe.finding = Finding(True, False, "", is_dropped)
            except ConnectionLost as cause:
                probe.finding = Finding(False, cause.is_refused, cause.detail)
            finally:
                probe.done.set()


async def _is_dropped(stream: trio.abc.Stream) -> bool:
    """Return whether the other side closes a connection on which nothing was sent."""
    due_s = trio.current_time() + DROPPED_WITHIN_S
    try:
        return not await read_until(partial(stream.receive_some, 1), due_s)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return True
    except trio.TooSlowError:
        return False
